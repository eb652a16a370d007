#ifndef GOLDCRESTWELL_CORE_NODE_OPERATOR_SOURCE_HPP
#define GOLDCRESTWELL_CORE_NODE_OPERATOR_SOURCE_HPP

#include "goldcrestwell/core/call/route_view.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/config/document_register.hpp"
#include "goldcrestwell/core/config/store_follower.hpp"
#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/row_key.hpp"
#include "goldcrestwell/core/node/node_event.hpp"
#include "goldcrestwell/core/node/operator_source_options.hpp"
#include "goldcrestwell/core/rollout/service_rollouts.hpp"
#include "goldcrestwell/core/rollout/status_recorder.hpp"
#include "goldcrestwell/core/routing/route_config_index.hpp"
#include "goldcrestwell/core/routing/row_policy.hpp"
#include "goldcrestwell/core/routing/share_picker.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace goldcrestwell {

/** @brief Hooks that connect an `operator_source` to its node; every hook must be set. */
struct operator_source_links {
    std::uint64_t seed{};
    /** @brief Options of the rollouts; the source itself sets `record_status`. */
    service_rollout_options rollouts;
    std::function<void(node_id to, const document_pull&)> send_pull;
    std::function<void(node_id to, const document_batch&)> send_batch;
    /** @brief Checks whether a node is in the same data centre. */
    std::function<bool(node_id)> is_nearby;
    /** @brief Checks whether this node reads each change of the store immediately. */
    std::function<bool()> reads_store_immediately;
    /** @brief Checks whether this node is the first one of its data centre to notice that a response was lost. */
    std::function<bool()> polls_store_briefly;
    /** @brief Checks whether messages from other nodes were received recently. */
    std::function<bool()> has_recent_contact;
    std::function<void(const routing_config&)> config_changed;
    std::function<void(const rollout_request&)> rollout_request_received;
    std::function<void(bool reachable)> store_changed;
    /** @brief Called for a record that could not be decoded. */
    std::function<void(const operator_record&)> record_unreadable;
    /** @brief Called for a record that was read and has no effect. */
    std::function<void(const record_skipped&)> record_skipped;
};

/** @brief Active configuration and rollouts, from operators' documents in the store or received from peers. */
class operator_source {
public:
    operator_source(operator_source_options options, operator_source_links links);

    void start(time_sample now);
    /** @brief Handles a call to the store that succeeded, other than a read of the operators' topic. */
    void on_store_contact() { follower_.on_store_contact(); }
    void on_page(const store_page& page, time_sample now);
    /** @param statuses Recorded rollout states; empty if the read failed. */
    void on_statuses(const std::optional<std::vector<rollout_status>>& statuses, log_offset end, time_sample now);
    void on_status_written(bool confirmed, time_sample now);
    void on_peer_position(node_id from, log_offset position, time_sample now);
    void on_pull(node_id from, const document_pull& pull) { register_.on_pull(from, pull); }
    void on_batch(const document_batch& batch, time_sample now);
    /** @brief Handles that the store returned from an older copy and may have lost what it confirmed. */
    void on_history_replaced(time_sample now);
    void on_timer(time_sample now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;

    /** @return Route of a call, with the service that was chosen by the weights of the route. */
    [[nodiscard]] std::optional<route_view> find_route(const call_request& call);
    /** @return Longest time that the route of a call allows it to take; empty without a route or a limit. */
    [[nodiscard]] std::optional<std::chrono::milliseconds> find_timeout(const call_request& call) const;
    [[nodiscard]] row_policy find_policy(const row_key& row) const;
    [[nodiscard]] const std::optional<routing_config>& config() const noexcept { return config_; }
    /** @return Position in the operators' topic up to which records are applied. */
    [[nodiscard]] log_offset position() const noexcept { return register_.position(); }
    [[nodiscard]] bool store_reachable() const noexcept { return follower_.reachable(); }
    [[nodiscard]] service_rollouts& rollout_tracker() noexcept { return rollouts_; }
    [[nodiscard]] const service_rollouts& rollout_tracker() const noexcept { return rollouts_; }

private:
    /** @brief Reads the recorded rollout states if the state of a rollout is still unknown. */
    void check_statuses();
    /** @return False if the record known so far stays in effect. */
    bool apply_record(const operator_record& record);
    bool apply(const routing_config& config, const operator_record& record);
    bool apply(const rollout_request& request, const operator_record& record);
    [[nodiscard]] service_name choose_service(const route_config& route);

    operator_source_options options_;
    operator_source_links links_;
    std::mt19937_64 random_;
    time_sample now_{};
    /** @brief Time of the next check for rollouts of unknown state. */
    std::optional<steady_time> status_check_due_;
    std::optional<routing_config> config_;
    /** @brief Offset of the record with the active configuration. */
    log_offset config_offset_;
    route_config_index route_configs_;
    std::map<route_name, share_picker> service_pickers_;
    document_register register_;
    store_follower follower_;
    status_recorder recorder_;
    service_rollouts rollouts_;
};

} // namespace goldcrestwell

#endif
