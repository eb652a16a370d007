#ifndef GOLDCRESTWELL_PLATFORM_SIDECAR_HPP
#define GOLDCRESTWELL_PLATFORM_SIDECAR_HPP

#include "goldcrestwell/codec/sidecar_settings.hpp"
#include "goldcrestwell/core/node/upstream_registry.hpp"
#include "goldcrestwell/platform/platform_listener.hpp"
#include "goldcrestwell/platform/store_client.hpp"
#include "goldcrestwell/shell/node_process.hpp"

namespace goldcrestwell {

/** @brief Joins a node with the platform: its store, its questions and the upstream on this host. */
class sidecar {
public:
    /** @param options Everything that does not depend on the platform. */
    sidecar(event_loop& loop, const sidecar_settings& settings, node_process_options options);

    /** @return False if a socket could not be bound; see `last_reason`. */
    [[nodiscard]] bool start();
    [[nodiscard]] start_failure last_reason() const noexcept { return failure_; }
    void drain() { process_.drain(); }
    [[nodiscard]] std::size_t cut_calls() const noexcept { return process_.cut_calls(); }

private:
    [[nodiscard]] node_process_options with_platform(node_process_options options);
    [[nodiscard]] operator_source_hooks store_hooks();
    [[nodiscard]] platform_listener_options listener_options(const sidecar_settings& settings);
    void read_entries();
    void read_statuses();

    event_loop& loop_;
    sidecar_settings settings_;
    start_failure failure_{start_failure::none};
    upstream_registry upstream_;
    store_client store_;
    node_process process_;
    platform_listener listener_;
};

} // namespace goldcrestwell

#endif
