#ifndef GOLDCRESTWELL_CORE_CALL_CALL_DISPATCHER_HPP
#define GOLDCRESTWELL_CORE_CALL_CALL_DISPATCHER_HPP

#include "goldcrestwell/core/call/call_dispatcher_options.hpp"
#include "goldcrestwell/core/call/peer_monitor.hpp"
#include "goldcrestwell/core/call/service_state.hpp"
#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/common/call_id.hpp"
#include "goldcrestwell/core/common/retry_reason.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/call_event.hpp"
#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/call_result.hpp"
#include "goldcrestwell/core/routing/share_picker.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrestwell {

/** @brief Caller side of calls: selects upstreams, sends attempts, retries them and gives each caller one result. */
class call_dispatcher {
public:
    using size_type = std::size_t;

    explicit call_dispatcher(call_dispatcher_options options);

    call_id start(call_request request, time_sample now);
    /** @brief Cancels a call whose caller has disconnected; no result is reported. */
    void cancel(call_id call, time_sample now);
    void on_reply(node_id from, const attempt_reply& reply, time_sample now);
    void on_status(node_id from, const attempt_status& status, time_sample now);
    /** @brief Handles the arrival of a frame of any kind from a peer. */
    void on_frame(node_id from, time_sample now);
    /** @brief Handles a connection that was closed, reset or could not be opened. */
    void on_connection_lost(node_id peer, time_sample now);
    /** @brief Handles an attempt whose request was not and will not be written to any connection, not even in part. */
    void on_not_sent(const attempt_id& id, time_sample now);
    void on_timer(time_sample now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;
    [[nodiscard]] size_type in_progress() const noexcept { return calls_.size(); }

private:
    /** @brief Current attempt of a call. */
    struct attempt {
        std::uint64_t sequence{};
        node_id target;
        incarnation target_incarnation;
        upstream_version version;
        bool idempotent{};
        row_policy policy;
        /** @brief Whether the request may have reached the upstream. */
        bool reached_upstream{};
    };
    struct call_state {
        call_request request;
        route_view route;
        /** @brief Version of the configuration that decided the route. */
        std::uint64_t config_version{};
        steady_time started;
        steady_time deadline;
        std::vector<node_id> tried_nodes;
        std::vector<upstream_version> excluded_versions;
        std::uint32_t retries{};
        /** @brief Number of retries after attempts that reached no upstream. */
        std::uint32_t redirects{};
        /** @brief Failure response of an upstream, returned to the caller if no later attempt gets a response. */
        std::optional<http_response> failed_response;
        /** @brief Whether an earlier attempt may have run; refusals must not state `not_run` then. */
        bool may_have_run{};
        attempt current;
    };
    using call_map = std::unordered_map<std::uint64_t, call_state>;

    [[nodiscard]] refusal_reason check_request(const call_request& request) const;
    [[nodiscard]] bool send_attempt(std::uint64_t key, call_state& state, bool is_first, time_sample now);
    [[nodiscard]] std::optional<upstream_version> pick_version(const call_state& state, bool is_first);
    [[nodiscard]] double remote_penalty(const route_name& route) const;
    void update_response_size(const route_name& route, const http_response& response);
    [[nodiscard]] std::optional<node_id> pick_node(const call_state& state, const upstream_version& version,
                                                   const row_policy& policy, time_sample now);
    [[nodiscard]] static std::chrono::milliseconds remaining_objective(const call_state& state,
                                                                       const row_policy& policy, time_sample now);
    void transmit(const call_state& state, const row_policy& policy, time_sample now);
    [[nodiscard]] call_map::iterator find_attempt(node_id from, const attempt_id& id);
    void end_attempt(const call_state& state, const attempt& ended, selection_outcome outcome, time_sample now);
    void on_refusal(call_map::iterator found, const call_refusal& refusal, retry_reason reason, time_sample now);
    [[nodiscard]] refusal_reason retry(call_map::iterator found, retry_reason reason, time_sample now);
    void finish(call_map::iterator found, const call_result& result);
    void refuse(call_map::iterator found, const call_refusal& refusal);
    void reply_refusal(std::uint64_t key, call_refusal refusal);
    /** @brief Refuses a call that has no state yet. */
    void refuse_new(std::uint64_t key, const call_request& request, refusal_reason reason, time_sample now);
    [[nodiscard]] std::uint64_t config_version() const;
    void report(const call_state& state, call_step step, refusal_reason reason, run_state run) const;
    [[nodiscard]] bool retry_failed_response(call_map::iterator found, const http_response& response, time_sample now);
    [[nodiscard]] attempt_id id_of(const attempt& sent) const;
    void handle_loss(node_id peer, bool query, time_sample now);
    void query_attempts(node_id peer);
    void retry_idempotent(node_id peer, time_sample now);
    void on_deadlines(time_sample now);
    void on_peer_timers(time_sample now);
    [[nodiscard]] upstream_selector& selector(const service_name& service, const upstream_version& version);
    [[nodiscard]] service_state& service(const service_name& name);

    call_dispatcher_options options_;
    std::mt19937_64 random_;
    call_map calls_;
    /** @brief Call of each outstanding attempt, by the attempt's sequence number. */
    std::unordered_map<std::uint64_t, std::uint64_t> attempts_;
    std::set<std::pair<steady_time, std::uint64_t>> deadlines_;
    peer_monitor peer_monitor_;
    std::map<service_name, service_state> services_;
    std::map<route_name, share_picker> pickers_;
    /** @brief Average response size of each route in bytes. */
    std::map<route_name, double> response_bytes_;
    std::uint64_t last_call_{};
    std::uint64_t last_sequence_{};
};

} // namespace goldcrestwell

#endif
