#ifndef GOLDCRESTWELL_CORE_NODE_NODE_HPP
#define GOLDCRESTWELL_CORE_NODE_NODE_HPP

#include "goldcrestwell/core/call/attempt_ledger.hpp"
#include "goldcrestwell/core/call/call_dispatcher.hpp"
#include "goldcrestwell/core/common/call_id.hpp"
#include "goldcrestwell/core/common/counters.hpp"
#include "goldcrestwell/core/common/invariant_monitor.hpp"
#include "goldcrestwell/core/common/latency_summary.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/config/config_follower.hpp"
#include "goldcrestwell/core/config/store_history.hpp"
#include "goldcrestwell/core/membership/membership.hpp"
#include "goldcrestwell/core/membership/node_directory.hpp"
#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/call_result.hpp"
#include "goldcrestwell/core/message/table_edit.hpp"
#include "goldcrestwell/core/message/upstream_result.hpp"
#include "goldcrestwell/core/node/candidate_index.hpp"
#include "goldcrestwell/core/node/departure_lookup.hpp"
#include "goldcrestwell/core/node/departure_recorder.hpp"
#include "goldcrestwell/core/node/edit_tracker.hpp"
#include "goldcrestwell/core/node/node_options.hpp"
#include "goldcrestwell/core/node/operator_source.hpp"
#include "goldcrestwell/core/node/record_origin.hpp"
#include "goldcrestwell/core/rollout/rollout_engine.hpp"
#include "goldcrestwell/core/routing/route_table.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace goldcrestwell {

/**
 * @brief Connects the modules of the core. Events are function calls with the current time; effects are hook calls.
 *
 * Module hooks queue every action that would call back into a module; the queue is emptied before an event returns.
 */
class node {
public:
    using reply_hook = std::function<void(const call_result&)>;

    explicit node(node_options options);

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void start(time_sample now);

    /**
     * @brief Handles a caller's request.
     * @param call Request; its timeout starts now.
     * @param reply Called at most once, possibly before this function returns; not called for a cancelled call.
     * @return Id of the call, for `on_call_cancelled`.
     */
    call_id on_call(call_request call, reply_hook reply, time_sample now);
    /** @brief Cancels a call whose caller has disconnected. */
    void on_call_cancelled(call_id call, time_sample now);

    void on_peer_message(node_id from, const peer_message& message, time_sample now);
    /**
     * @brief Handles a message for which this node has no memory.
     * @param message A request or a reply of an attempt, without its body.
     */
    void on_oversized_message(node_id from, const peer_message& message, time_sample now);
    /** @brief Handles the loss of the last connection with a peer. */
    void on_peer_lost(node_id peer, time_sample now);
    /** @brief Handles an attempt of which no byte was or will be written to a connection. */
    void on_attempt_not_sent(const attempt_id& id, time_sample now);
    void on_datagram(const datagram& message, time_sample now);
    void on_log_batch(const record_batch& batch, time_sample now);
    void on_log_failure(time_sample now);
    void on_upstream_result(const attempt_id& id, const upstream_result& result, time_sample now);

    /** @brief Handles an announcement of the local upstream, also a repeated one. */
    void on_upstream_announced(const upstream_info& upstream, time_sample now);
    /** @brief Removes the local upstream, which accepts no more work. */
    void on_upstream_withdrawn(time_sample now);
    /** @brief Announces at once that the local upstream leaves, and removes it after `leave_grace_period`. */
    void on_upstream_leaving(time_sample now);
    /**
     * @brief Records that an upstream of this host leaves; requires `operators` to be set.
     * @param departures All known departures, the present one last.
     * @param answer Called once the departure is recorded, or without a record if the store does not respond in time.
     */
    void on_upstream_departed(const std::vector<upstream_departure>& departures, departure_recorder::answer_hook answer,
                              time_sample now);
    /** @brief Handles that the departures recorded by earlier processes are known; `departures` includes them. */
    void on_departures_restored(const std::vector<upstream_departure>& departures, time_sample now);
    /** @brief Submits an operator's edit; the hook receives the verdict, or nothing if the outcome is unknown. */
    void on_edit(const table_edit& edit, edit_tracker::decision_hook decided, time_sample now);
    void on_timer(time_sample now);
    /** @brief Starts a graceful shutdown; new work is refused after `drain_refusal_delay`. */
    void on_drain(time_sample now);

    /**
     * @brief Handles a response of the store, before its result; requires `operators` to be set.
     * @param era Era that the response reports, if any.
     * @return Era of the response, or nothing if it belongs to an earlier history and must be ignored.
     */
    [[nodiscard]] std::optional<store_era> on_store_response(std::optional<store_era> era, time_sample now);
    /** @brief Handles a finished read of the operators' topic; this and the next five require `operators` to be set. */
    void on_store_page(const store_page& page, time_sample now);
    /** @brief Handles a finished read of the recorded rollout states; `statuses` is empty if it failed. */
    void on_statuses(const std::optional<std::vector<rollout_status>>& statuses, log_offset end, time_sample now);
    /** @brief Handles a finished write of a rollout state; not `confirmed` if refused or of unknown outcome. */
    void on_status_written(bool confirmed, time_sample now);
    /** @brief Handles a finished write of this node's directory entry. */
    void on_node_entry_written(bool confirmed, time_sample now);
    /** @brief Handles a finished read of the node directory; `entries` is empty if it failed. */
    void on_node_directory_read(const std::optional<std::vector<node_id>>& entries, time_sample now);

    /** @brief Handles a finished read of departures for other nodes; `found` is empty if it failed. */
    void on_departures_read(const std::optional<std::vector<host_departures>>& found, time_sample now);
    /** @brief Handles a finished write of a departure; not `confirmed` if refused or of unknown outcome. */
    void on_departure_written(bool confirmed, time_sample now);

    /** @return True if the node has a configuration and can serve calls. */
    [[nodiscard]] bool ready() const noexcept;
    [[nodiscard]] bool draining() const noexcept { return drain_started_.has_value(); }
    /** @return True if the drain is complete and the process may end. */
    [[nodiscard]] bool drained(time_sample now) const noexcept;
    /** @return Number of calls that would be interrupted if the process ended now. */
    [[nodiscard]] std::size_t in_progress() const noexcept;
    /** @brief Announces to the other nodes that the process ends. */
    void leave_cluster(time_sample now);

    [[nodiscard]] const node_options& options() const noexcept { return options_; }
    [[nodiscard]] const counters& counts() const noexcept { return counts_; }
    [[nodiscard]] counters& counts() noexcept { return counts_; }
    [[nodiscard]] const invariant_monitor& invariants() const noexcept { return invariants_; }
    [[nodiscard]] const latency_summary& call_latency() const noexcept { return call_latency_; }
    /** @return Durations of attempts in the queue of the local upstream. */
    [[nodiscard]] const latency_summary& queue_latency() const noexcept { return queue_latency_; }
    /** @return Durations of attempts at the local upstream. */
    [[nodiscard]] const latency_summary& upstream_latency() const noexcept { return upstream_latency_; }
    /** @return Offset of the last configuration record that was read. */
    [[nodiscard]] log_offset position() const noexcept;
    /** @return Version of the active configuration; zero if there is none. */
    [[nodiscard]] std::uint64_t config_version() const;
    /** @return History of the store, if the configuration comes from there. */
    [[nodiscard]] const store_history& history() const noexcept { return history_; }
    [[nodiscard]] const membership& members() const noexcept { return membership_; }
    [[nodiscard]] const config_follower& follower() const noexcept { return follower_; }
    [[nodiscard]] const rollout_engine& rollout() const noexcept { return rollout_; }
    /** @return Source of the operators' documents; null if the configuration is the node's own table. */
    [[nodiscard]] const operator_source* operators() const noexcept { return operators_ ? &*operators_ : nullptr; }
    [[nodiscard]] const std::optional<upstream_info>& upstream() const noexcept { return upstream_; }

private:
    using task = std::function<void()>;
    struct waiting_caller {
        reply_hook reply;
        steady_time since;
        /** @brief Row of the request at the local upstream that made the call, if it is known. */
        std::optional<row_key> parent_row;
        /** @brief Id of that request. */
        std::string parent_id;
    };

    [[nodiscard]] membership_options make_membership_options();
    [[nodiscard]] config_follower_options make_follower_options();
    [[nodiscard]] rollout_engine_options make_rollout_options();
    [[nodiscard]] call_dispatcher_options make_dispatcher_options();
    [[nodiscard]] attempt_ledger_options make_ledger_options();
    [[nodiscard]] operator_source_links make_operator_links();
    [[nodiscard]] node_directory_options make_directory_options();
    [[nodiscard]] departure_recorder_options make_departure_options();
    [[nodiscard]] departure_lookup_options make_lookup_options();
    [[nodiscard]] store_history_options make_history_options();

    void queue(task work) { tasks_.push_back(std::move(work)); }
    /** @brief Runs the queued actions, then advertises the position and schedules the next timer. */
    void run_tasks();
    void advertise_position();
    void update_timer();
    [[nodiscard]] std::optional<steady_time> next_timer() const;

    void handle(node_id from, const hello& message);
    void handle(node_id from, const heartbeat& message);
    void handle(node_id from, const heartbeat_ack& message);
    void handle(node_id from, const attempt_request& message);
    void handle(node_id from, const attempt_reply& message);
    void handle(node_id from, const attempt_query& message);
    void handle(node_id from, const attempt_status& message);
    void handle(node_id from, const attempt_cancel& message);
    void handle(node_id from, const config_pull& message);
    void handle(node_id from, const record_batch& message);
    void handle(node_id from, const evidence_report& message);
    void handle(node_id from, const sync_digest& message);
    void handle(node_id from, const sync_state& message);
    void handle(node_id from, const sync_list& message);
    void handle(node_id from, const sync_request& message);
    void handle(node_id from, const document_pull& message);
    void handle(node_id from, const document_batch& message);
    void handle(node_id from, const departure_query& message);
    void handle(node_id from, const departure_answer& message);

    /** @brief Sends a frame of a call; a frame to this node itself is queued. */
    void send_call_frame(node_id to, const peer_message& message);
    void send_control_frame(node_id to, const peer_message& message, control_priority priority);
    void send_evidence(node_id to, const evidence_report& report);
    void on_snapshot(const std::shared_ptr<const table_snapshot>& snapshot);
    void on_member(const member& record);
    void on_verdict(const edit_verdict& verdict);
    void reply(call_id call, const call_result& result);
    void record_attempt(const attempt_event& event);
    void refuse(const call_request& call, const reply_hook& hook, refusal_reason reason);
    [[nodiscard]] bool accepts_work(node_id target) const;
    [[nodiscard]] std::optional<route_view> find_route(const call_request& call);
    [[nodiscard]] std::vector<version_share> shares_of(const route_view& route) const;
    [[nodiscard]] std::span<const upstream_candidate> candidates_of(const service_name& service,
                                                                    const upstream_version& version);
    [[nodiscard]] bool is_row_failing(const row_key& row);
    /** @return Nodes that read each change of the store for the data centre, in a fixed order; never empty. */
    [[nodiscard]] std::vector<node_id> store_readers() const;
    [[nodiscard]] bool reads_store_immediately() const;
    void request_records(node_id from, const document_pull& pull);
    void on_config(const routing_config& config);
    void on_store_changed(bool reachable);
    void add_upstream_version(const member& record);
    void receive_rollout(const rollout_update& update);
    void receive_position(node_id from, log_offset position);
    void on_history_replaced(store_era previous, store_era current);
    void observe(const call_observation& observation);
    [[nodiscard]] bool refuses_work() const noexcept;
    /** @return Time at which accepted work has to end; empty if no drain limits it yet. */
    [[nodiscard]] std::optional<steady_time> work_end() const noexcept;
    [[nodiscard]] bool may_outlast_drain(const call_request& call) const;
    /** @brief Continues a drain: the node first announces that it leaves, then refuses new work. */
    void continue_drain();
    [[nodiscard]] row_policy find_policy(const row_key& key) const;

    node_options options_;
    /** @brief Time of the current event, for hooks. */
    time_sample now_{};
    counters counts_;
    latency_summary call_latency_;
    latency_summary queue_latency_;
    latency_summary upstream_latency_;
    invariant_monitor invariants_;
    std::deque<task> tasks_;
    bool running_tasks_{};

    candidate_index candidates_;
    /** @brief Candidates selected by the last `candidates_of` for a version in its canary stage. */
    std::vector<upstream_candidate> canary_upstreams_;
    std::shared_ptr<const table_snapshot> snapshot_;
    route_table routes_;
    membership membership_;
    config_follower follower_;
    rollout_engine rollout_;
    call_dispatcher dispatcher_;
    attempt_ledger ledger_;
    edit_tracker edits_;
    store_history history_;
    std::optional<operator_source> operators_;
    std::optional<node_directory> directory_;
    std::optional<departure_recorder> departures_;
    std::optional<departure_lookup> departure_lookup_;

    std::map<call_id, waiting_caller> callers_;
    std::optional<upstream_info> upstream_;
    steady_time announcement_expires_{};
    /** @brief Time at which a leaving upstream is removed. */
    std::optional<steady_time> withdraw_at_;
    steady_time started_{};
    std::optional<steady_time> drain_started_;
    bool leave_announced_{};
    std::optional<steady_time> last_call_;
    /** @brief Time of the last message from another node. */
    steady_time last_message_received_{};
    record_origin record_origin_;
    std::optional<steady_time> store_lost_at_;
    log_offset advertised_position_;
    bool ready_reported_{};
    bool leaving_{};
    std::optional<steady_time> scheduled_timer_;
};

} // namespace goldcrestwell

#endif
