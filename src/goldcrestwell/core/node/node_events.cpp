// Handlers for frames of other nodes and for events of the modules of this node.

#include "goldcrestwell/core/node/node.hpp"
#include "goldcrestwell/core/node/rollout_plans.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

bool shows_overload(const refusal_reason reason) {
    switch (reason) {
    case refusal_reason::calls_refused:
    case refusal_reason::deadline_passed:
    case refusal_reason::no_upstream:
    case refusal_reason::queue_full:
    case refusal_reason::upstream_rejected:
        return true;
    default:
        return false;
    }
}

nested_call_outcome nested_outcome_of(const call_result& result) {
    constexpr std::uint32_t min_failing_status = 500;
    if (const auto* response = std::get_if<http_response>(&result)) {
        return response->status >= min_failing_status ? nested_call_outcome::failed : nested_call_outcome::succeeded;
    }
    return shows_overload(std::get<call_refusal>(result).reason) ? nested_call_outcome::refused
                                                                 : nested_call_outcome::failed;
}

} // namespace

void node::handle(const node_id /*from*/, const hello& /*message*/) {}

void node::handle(const node_id from, const heartbeat& /*message*/) {
    options_.hooks.send_frame(from, heartbeat_ack{});
}

void node::handle(const node_id /*from*/, const heartbeat_ack& /*message*/) {}

void node::handle(const node_id from, const attempt_request& message) {
    ledger_.on_request(from, message, now_);
}

void node::handle(const node_id from, const attempt_reply& message) {
    dispatcher_.on_reply(from, message, now_);
}

void node::handle(const node_id from, const attempt_query& message) {
    ledger_.on_query(from, message, now_);
}

void node::handle(const node_id from, const attempt_status& message) {
    dispatcher_.on_status(from, message, now_);
}

void node::handle(const node_id from, const attempt_cancel& message) {
    ledger_.on_cancel(from, message, now_);
}

void node::handle(const node_id from, const config_pull& message) {
    follower_.on_pull(from, message, now_);
}

void node::handle(const node_id from, const record_batch& message) {
    follower_.on_peer_batch(from, message, now_);
}

void node::handle(const node_id /*from*/, const evidence_report& message) {
    if (operators_) {
        operators_->rollout_tracker().on_evidence(message, now_);
    } else {
        rollout_.on_evidence(message, now_);
    }
}

void node::handle(const node_id from, const document_pull& message) {
    if (operators_) {
        // A node without documents has just started. It gets the rollout states first, so that it does not take a
        // finished rollout for a new one.
        if (message.after == log_offset{}) {
            options_.hooks.send_frame(from, sync_state{.rollouts = operators_->rollout_tracker().rollouts()});
        }
        operators_->on_pull(from, message);
    }
}

void node::handle(const node_id from, const document_batch& message) {
    if (operators_) {
        record_origin_.on_records(from);
        operators_->on_batch(message, now_);
    }
}

void node::handle(const node_id from, const departure_query& /*message*/) {
    if (operators_) {
        departure_lookup_->on_query(from, now_.steady);
    }
}

void node::handle(const node_id /*from*/, const departure_answer& message) {
    if (operators_ && !departures_->started()) {
        queue([this, message] { options_.operators->hooks.departures_received(message.departures); });
    }
}

void node::handle(const node_id from, const sync_digest& message) {
    membership_.on_sync(from, message, now_);
}

void node::handle(const node_id from, const sync_state& message) {
    membership_.on_sync(from, message, now_);
}

void node::handle(const node_id from, const sync_list& message) {
    membership_.on_sync(from, message, now_);
}

void node::handle(const node_id from, const sync_request& message) {
    membership_.on_sync(from, message, now_);
}

void node::send_call_frame(const node_id to, const peer_message& message) {
    if (std::holds_alternative<attempt_request>(message)) {
        invariants_.check(invariant_id::leaving_gets_no_work, accepts_work(to));
    }
    if (to != options_.self) {
        options_.hooks.send_frame(to, message);
        return;
    }
    queue([this, message] {
        std::visit([this](const auto& alternative) { handle(options_.self, alternative); }, message);
    });
}

void node::send_control_frame(const node_id to, const peer_message& message, const control_priority priority) {
    // Configuration is sent even if the budget is exhausted; other control traffic then waits.
    static_cast<void>(membership_.spend(options_.hooks.frame_size(message), priority, now_));
    options_.hooks.send_frame(to, message);
}

void node::send_evidence(const node_id to, const evidence_report& report) {
    if (to == options_.self) {
        queue([this, report] { handle(options_.self, report); });
        return;
    }
    if (membership_.spend(options_.hooks.frame_size(report), control_priority::evidence, now_)) {
        options_.hooks.send_frame(to, report);
    }
}

void node::on_snapshot(const std::shared_ptr<const table_snapshot>& snapshot) {
    const auto changes = to_rollout_changes(snapshot_.get(), *snapshot, follower_.position());
    const auto is_new_or_moved = [this](const route_plan& plan) {
        const auto* entry = routes_.find(plan.route.value);
        return entry == nullptr || entry->route != plan.route || entry->service != plan.service;
    };
    if (!changes.removed.empty() || std::any_of(changes.plans.begin(), changes.plans.end(), is_new_or_moved)) {
        routes_ = to_route_table(*snapshot);
    }
    snapshot_ = snapshot;
    rollout_.on_changes(changes, now_);
    options_.hooks.event(table_changed{.version = snapshot->version(), .rows = snapshot->row_count()});
}

// Not queued because it changes no other module, and a call that is dispatched later in the same event must not use
// stale candidates.
void node::on_member(const member& record) {
    candidates_.update(record, now_.steady);
    add_upstream_version(record);
    options_.hooks.event(record);
}

void node::on_verdict(const edit_verdict& verdict) {
    invariants_.check(invariant_id::accepted_in_force,
                      !verdict.accepted() || follower_.reducer().snapshot()->version() >= verdict.offset);
    options_.hooks.event(verdict);
    edits_.on_verdict(verdict);
}

void node::reply(const call_id call, const call_result& result) {
    auto waiting = callers_.extract(call);
    if (waiting.empty()) {
        return;
    }
    call_latency_.add(now_.steady - waiting.mapped().since);
    if (waiting.mapped().parent_row) {
        ledger_.on_nested_call(waiting.mapped().parent_id, *waiting.mapped().parent_row, nested_outcome_of(result),
                               now_);
    }
    waiting.mapped().reply(result);
}

void node::record_attempt(const attempt_event& event) {
    queue_latency_.add(event.queued);
    if (event.at_upstream > std::chrono::microseconds{}) {
        upstream_latency_.add(event.at_upstream);
    }
    options_.hooks.event(event);
}

void node::refuse(const call_request& call, const reply_hook& hook, const refusal_reason reason) {
    ++counts_.calls;
    counts_.refusals.add(reason);
    options_.hooks.event(call_event{.step = call_step::refused,
                                    .request_id = call.request_id,
                                    .config_version = config_version(),
                                    .reason = reason,
                                    .run = run_state::not_run,
                                    .started = now_.steady});
    hook(call_refusal{.reason = reason, .state = run_state::not_run, .retry_after = options_.calls.retry_after});
}

bool node::accepts_work(const node_id target) const {
    const auto* record = membership_.find(target);
    return record != nullptr && record->status == member_status::alive && record->upstream.has_value();
}

std::optional<route_view> node::find_route(const call_request& call) {
    if (operators_) {
        return operators_->find_route(call);
    }
    const auto* entry = routes_.find(call.target);
    if (entry == nullptr) {
        return std::nullopt;
    }
    return route_view{.route = entry->route, .service = entry->service};
}

row_policy node::find_policy(const row_key& key) const {
    if (operators_) {
        return operators_->find_policy(key);
    }
    const auto* row = snapshot_ == nullptr ? nullptr : snapshot_->find_row(key);
    return row == nullptr ? row_policy{}
                          : row_policy{.limits = row->values.limits, .idempotent = row->values.idempotent};
}

} // namespace goldcrestwell
