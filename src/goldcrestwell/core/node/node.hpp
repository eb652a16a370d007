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
#include "goldcrestwell/core/membership/membership.hpp"
#include "goldcrestwell/core/membership/node_directory.hpp"
#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/call_result.hpp"
#include "goldcrestwell/core/message/table_edit.hpp"
#include "goldcrestwell/core/message/upstream_result.hpp"
#include "goldcrestwell/core/node/candidate_index.hpp"
#include "goldcrestwell/core/node/edit_tracker.hpp"
#include "goldcrestwell/core/node/node_options.hpp"
#include "goldcrestwell/core/node/operator_source.hpp"
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
 * @brief Joins the modules of the core: events come in as calls with the time, effects go out through hooks.
 *
 * Hooks of the modules queue what would call back into a module; the queue is emptied before an event returns.
 */
class node {
public:
    using reply_hook = std::function<void(const call_result&)>;

    explicit node(node_options options);

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void start(time_sample now);

    /**
     * @brief A caller's request.
     * @param call The request; its time-out counts from now.
     * @param reply Called at most once, perhaps before this function returns; not called for a cancelled call.
     * @return Number of the call, for `on_call_cancelled`.
     */
    call_id on_call(call_request call, reply_hook reply, time_sample now);
    /** @brief The caller of a call has gone; nobody waits for its result. */
    void on_call_cancelled(call_id call, time_sample now);

    void on_peer_message(node_id from, const peer_message& message, time_sample now);
    /** @brief The last connection with a peer has closed. */
    void on_peer_lost(node_id peer, time_sample now);
    /** @brief No byte of an attempt's request was or will be written to a connection. */
    void on_attempt_not_sent(const attempt_id& id, time_sample now);
    void on_datagram(const datagram& message, time_sample now);
    void on_log_batch(const record_batch& batch, time_sample now);
    void on_log_failure(time_sample now);
    void on_upstream_result(const attempt_id& id, const upstream_result& result, time_sample now);

    /** @brief The upstream beside the node announced itself, or repeated its announcement. */
    void on_announce(const upstream_info& upstream, time_sample now);
    /** @brief The upstream beside the node takes no more work. */
    void on_withdraw(time_sample now);
    /** @brief The upstream is about to leave: other nodes learn it now, its own work ends after `leave_grace`. */
    void on_leaving(time_sample now);
    /** @brief An operator's edit; the hook gets the verdict, or nothing if the outcome is unknown. */
    void on_edit(const table_edit& edit, edit_tracker::decision_hook decided, time_sample now);
    void on_timer(time_sample now);
    /** @brief Refuses new work, from the end of `drain_notice` on, and finishes the rest. */
    void on_drain(time_sample now);

    /** @brief A read of the operators' topic ended; for nodes with `operators` set, like the next three. */
    void on_store_page(const store_page& page, time_sample now);
    /** @brief A read of the recorded states of rollouts ended; nothing if it failed. */
    void on_statuses(const std::optional<std::vector<rollout_status>>& statuses, log_offset end, time_sample now);
    /** @brief A write of a rollout's state ended; false if it was refused or its outcome is unknown. */
    void on_status_written(bool confirmed, time_sample now);
    /** @brief A write of this node's directory entry ended. */
    void on_entry_written(bool confirmed, time_sample now);
    /** @brief A read of the directory ended; nothing if it failed. */
    void on_entries(const std::optional<std::vector<node_id>>& entries, time_sample now);

    /** @return True if the node has a configuration that it may serve. */
    [[nodiscard]] bool ready() const noexcept;
    [[nodiscard]] bool draining() const noexcept { return drain_started_.has_value(); }
    /** @return True once a drain is complete and the process may end. */
    [[nodiscard]] bool drained(time_sample now) const noexcept;
    /** @return Calls that would be cut if the process ended now. */
    [[nodiscard]] std::size_t in_progress() const noexcept;
    /** @brief Tells the other nodes that the process ends. */
    void depart(time_sample now);

    [[nodiscard]] const node_options& options() const noexcept { return options_; }
    [[nodiscard]] const counters& counts() const noexcept { return counts_; }
    [[nodiscard]] counters& counts() noexcept { return counts_; }
    [[nodiscard]] const invariant_monitor& invariants() const noexcept { return invariants_; }
    [[nodiscard]] const latency_summary& call_latency() const noexcept { return call_latency_; }
    /** @return Time of attempts in the queue of the own upstream. */
    [[nodiscard]] const latency_summary& queue_latency() const noexcept { return queue_latency_; }
    /** @return Time of attempts at the own upstream. */
    [[nodiscard]] const latency_summary& upstream_latency() const noexcept { return upstream_latency_; }
    /** @return Offset up to which the configuration was read. */
    [[nodiscard]] log_offset position() const noexcept;
    /** @return Version of the configuration in force; zero if there is none. */
    [[nodiscard]] std::uint64_t config_version() const;
    [[nodiscard]] const membership& members() const noexcept { return membership_; }
    [[nodiscard]] const config_follower& follower() const noexcept { return follower_; }
    [[nodiscard]] const rollout_engine& rollout() const noexcept { return rollout_; }
    /** @return Null for a node whose configuration is its own table. */
    [[nodiscard]] const operator_source* operators() const noexcept { return operators_ ? &*operators_ : nullptr; }
    [[nodiscard]] const std::optional<upstream_info>& upstream() const noexcept { return upstream_; }

private:
    using task = std::function<void()>;
    struct waiting_caller {
        reply_hook reply;
        steady_time since;
        /** @brief Row whose run at the own upstream made the call. */
        std::optional<row_key> maker;
        /** @brief Id of the call, if such a run made it. */
        std::string id;
    };

    [[nodiscard]] membership_options make_membership_options();
    [[nodiscard]] config_follower_options make_follower_options();
    [[nodiscard]] rollout_engine_options make_rollout_options();
    [[nodiscard]] call_dispatcher_options make_dispatcher_options();
    [[nodiscard]] attempt_ledger_options make_ledger_options();
    [[nodiscard]] operator_source_links make_operator_links();
    [[nodiscard]] node_directory_options make_directory_options();

    void queue(task work) { tasks_.push_back(std::move(work)); }
    /** @brief Runs what the hooks queued, then passes on the position and asks for the next timer. */
    void settle();
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

    /** @brief Sends a frame of a call; to this node itself it goes through the queue. */
    void send_call_frame(node_id to, const peer_message& message);
    void send_control_frame(node_id to, const peer_message& message, control_priority priority);
    void send_evidence(node_id to, const evidence_report& report);
    void on_snapshot(const std::shared_ptr<const table_snapshot>& snapshot);
    void on_member(const member& record);
    void on_verdict(const edit_verdict& verdict);
    void reply(call_id call, const call_result& result);
    void note_attempt(const attempt_event& event);
    void refuse(const call_request& call, const reply_hook& hook, refusal_reason reason);
    [[nodiscard]] bool taking_work(node_id target) const;
    [[nodiscard]] std::optional<route_view> find_route(const call_request& call);
    [[nodiscard]] std::vector<version_share> shares_of(const route_view& route) const;
    [[nodiscard]] std::span<const upstream_candidate> candidates_of(const service_name& service,
                                                                    const upstream_version& version);
    [[nodiscard]] bool refuses(const row_key& row);
    [[nodiscard]] bool reads_store_at_once() const;
    void note_upstream(const member& record);
    void receive_rollout(const rollout_update& update);
    void receive_position(node_id from, log_offset position);
    void observe(const call_observation& observation);
    [[nodiscard]] bool refuses_work() const noexcept;
    /** @brief Continues a drain: the upstream leaves first, then new work is refused. */
    void continue_drain();
    [[nodiscard]] row_terms terms_of(const row_key& key) const;

    node_options options_;
    /** @brief Time of the event being served, for hooks that need it. */
    time_sample now_{};
    counters counts_;
    latency_summary call_latency_;
    latency_summary queue_latency_;
    latency_summary upstream_latency_;
    invariant_monitor invariants_;
    std::deque<task> tasks_;
    bool settling_{};

    candidate_index candidates_;
    /** @brief The upstreams of a version on trial whose turn it is; valid until the next choice. */
    std::vector<upstream_candidate> trial_candidates_;
    std::shared_ptr<const table_snapshot> snapshot_;
    route_table routes_;
    membership membership_;
    config_follower follower_;
    rollout_engine rollout_;
    call_dispatcher dispatcher_;
    attempt_ledger ledger_;
    edit_tracker edits_;
    std::optional<operator_source> operators_;
    std::optional<node_directory> directory_;

    std::map<call_id, waiting_caller> callers_;
    std::optional<upstream_info> upstream_;
    steady_time announcement_expires_{};
    /** @brief When the work of a leaving upstream ends. */
    std::optional<steady_time> withdraw_at_;
    steady_time started_{};
    std::optional<steady_time> drain_started_;
    bool drain_announced_{};
    std::optional<steady_time> last_call_;
    /** @brief When another node was heard last. */
    steady_time last_heard_{};
    log_offset advertised_position_;
    bool ready_reported_{};
    bool departing_{};
    std::optional<steady_time> armed_timer_;
};

} // namespace goldcrestwell

#endif
