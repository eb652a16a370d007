#ifndef GOLDCRESTWELL_PLATFORM_SIDECAR_HPP
#define GOLDCRESTWELL_PLATFORM_SIDECAR_HPP

#include "goldcrestwell/codec/sidecar_settings.hpp"
#include "goldcrestwell/core/node/upstream_registry.hpp"
#include "goldcrestwell/platform/platform_listener.hpp"
#include "goldcrestwell/platform/store_client.hpp"
#include "goldcrestwell/shell/node_process.hpp"

namespace goldcrestwell {

/** @brief Connects a node to the platform: its store, its readiness checks and the local upstream. */
class sidecar {
public:
    /**
     * @param loop Loop that serves the node; must outlive it.
     * @param settings Addresses and time limits of the platform's protocol.
     * @param options Options that do not depend on the platform.
     */
    sidecar(event_loop& loop, const sidecar_settings& settings, node_process_options options);

    /** @return False if a listener failed to start; see `last_reason`. */
    [[nodiscard]] bool start();
    [[nodiscard]] start_failure last_reason() const noexcept { return start_failure_; }
    void drain() { process_.drain(); }
    [[nodiscard]] std::size_t aborted_calls() const noexcept { return process_.aborted_calls(); }

private:
    using answer_hook = departure_recorder::answer_hook;

    [[nodiscard]] node_process_options add_platform_hooks(node_process_options options);
    [[nodiscard]] operator_source_hooks store_hooks();
    [[nodiscard]] platform_listener_options listener_options(const sidecar_settings& settings);
    void report_skipped_records(std::string_view topic, std::size_t count);
    void on_upstream_change(upstream_change change);
    /** @brief Handles a change of the local upstream and answers the request that announced it. */
    void answer_change(upstream_change change, const answer_hook& answer);
    /** @param departures Recorded departures, or nothing if their record is unreadable. */
    void restore_departures(const std::optional<std::vector<upstream_departure>>& departures);
    void read_node_directory();
    /** @brief Reads the departures recorded for the hosts of other nodes. */
    void read_departures(const std::vector<node_id>& nodes);
    void read_rollout_statuses();

    event_loop& loop_;
    sidecar_settings settings_;
    start_failure start_failure_{start_failure::none};
    upstream_registry upstream_registry_;
    store_client store_client_;
    /** @brief Maximum number of connections of each listener for the platform. */
    std::size_t max_connections_;
    std::shared_ptr<memory_budget> memory_;
    node_process process_;
    platform_listener listener_;
};

} // namespace goldcrestwell

#endif
