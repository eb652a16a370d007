#include "goldcrestwell/core/node/node.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace goldcrestwell {

node::node(node_options options)
    : options_{std::move(options)}, invariants_{options_.hooks.invariant_violated}, candidates_{options_.data_centre},
      membership_{make_membership_options()}, follower_{make_follower_options()}, rollout_{make_rollout_options()},
      dispatcher_{make_dispatcher_options()}, ledger_{make_ledger_options()},
      edits_{{.append_record = options_.hooks.append_record}}, history_{make_history_options()} {
    if (options_.operators) {
        operators_.emplace(*options_.operators, make_operator_links());
        directory_.emplace(make_directory_options());
        departures_.emplace(make_departure_options());
        departure_lookup_.emplace(make_lookup_options());
    }
}

void node::start(const time_sample now) {
    now_ = now;
    started_ = now.steady;
    membership_.start(now);
    if (operators_) {
        directory_->start();
        departure_lookup_->start(now.steady);
        operators_->start(now);
    } else {
        follower_.start(now);
    }
    run_tasks();
}

call_id node::on_call(call_request call, reply_hook reply_function, const time_sample now) {
    now_ = now;
    last_call_ = now.steady;
    if (refuses_work() || may_outlast_drain(call)) {
        refuse(call, reply_function, refusal_reason::draining);
        return call_id{};
    }
    if (!ready()) {
        refuse(call, reply_function, refusal_reason::not_ready);
        return call_id{};
    }
    waiting_caller waiting{.reply = std::move(reply_function), .since = now.steady};
    if (const auto* running = ledger_.parent_of(call.request_id)) {
        waiting.parent_row = running->row;
        waiting.parent_id = call.request_id;
        call.hops = std::max(call.hops, running->hops);
    }
    const auto id = dispatcher_.start(std::move(call), now);
    callers_.emplace(id, std::move(waiting));
    run_tasks();
    return id;
}

void node::on_call_cancelled(const call_id call, const time_sample now) {
    now_ = now;
    if (callers_.erase(call) != 0) {
        counts_.refusals.add(refusal_reason::cancelled);
    }
    dispatcher_.cancel(call, now);
    run_tasks();
}

void node::on_peer_message(const node_id from, const peer_message& message, const time_sample now) {
    now_ = now;
    last_message_received_ = now.steady;
    dispatcher_.on_frame(from, now);
    std::visit([this, from](const auto& alternative) { handle(from, alternative); }, message);
    run_tasks();
}

void node::on_oversized_message(const node_id from, const peer_message& message, const time_sample now) {
    now_ = now;
    last_message_received_ = now.steady;
    counts_.drops.add(drop_reason::out_of_memory);
    dispatcher_.on_frame(from, now);
    if (const auto* request = std::get_if<attempt_request>(&message)) {
        ledger_.on_oversized_request(from, *request, now);
    } else if (const auto* reply = std::get_if<attempt_reply>(&message)) {
        // The upstream has responded, so the request ran.
        const call_refusal refusal{.reason = refusal_reason::out_of_memory, .state = run_state::ran};
        dispatcher_.on_reply(from, {.id = reply->id, .result = refusal, .load = reply->load}, now);
    }
    run_tasks();
}

void node::on_peer_lost(const node_id peer, const time_sample now) {
    now_ = now;
    dispatcher_.on_connection_lost(peer, now);
    run_tasks();
}

void node::on_attempt_not_sent(const attempt_id& id, const time_sample now) {
    now_ = now;
    dispatcher_.on_not_sent(id, now);
    run_tasks();
}

void node::on_datagram(const datagram& message, const time_sample now) {
    now_ = now;
    last_message_received_ = now.steady;
    membership_.on_datagram(message, now);
    run_tasks();
}

void node::on_log_batch(const record_batch& batch, const time_sample now) {
    now_ = now;
    follower_.on_log_batch(batch, now);
    run_tasks();
}

void node::on_log_failure(const time_sample now) {
    now_ = now;
    follower_.on_log_failure(now);
    run_tasks();
}

void node::on_upstream_result(const attempt_id& id, const upstream_result& result, const time_sample now) {
    now_ = now;
    ledger_.on_upstream_result(id, result, now);
    run_tasks();
}

void node::on_upstream_announced(const upstream_info& upstream, const time_sample now) {
    now_ = now;
    announcement_expires_ = now.steady + options_.announcement_expiry;
    if (drain_started_) {
        return;
    }
    if (withdraw_at_ && upstream_ == upstream) {
        // This is a late announcement of an upstream that has already announced its shutdown.
        return;
    }
    withdraw_at_.reset();
    if (upstream_ != upstream) {
        upstream_ = upstream;
        ledger_.set_upstream(upstream, now);
        membership_.announce(upstream, now);
    }
    run_tasks();
}

void node::on_upstream_withdrawn(const time_sample now) {
    now_ = now;
    withdraw_at_.reset();
    if (upstream_) {
        upstream_.reset();
        membership_.withdraw(now);
        ledger_.set_upstream(std::nullopt, now);
    }
    run_tasks();
}

void node::on_upstream_leaving(const time_sample now) {
    now_ = now;
    if (upstream_ && !withdraw_at_) {
        withdraw_at_ = now.steady + options_.leave_grace_period;
        membership_.withdraw(now);
    }
    run_tasks();
}

void node::on_edit(const table_edit& edit, edit_tracker::decision_hook decided, const time_sample now) {
    now_ = now;
    edits_.submit(edit, std::move(decided), now.steady);
    run_tasks();
}

void node::on_timer(const time_sample now) {
    now_ = now;
    scheduled_timer_.reset();
    membership_.on_timer(now);
    follower_.on_timer(now);
    rollout_.on_timer(now);
    dispatcher_.on_timer(now);
    ledger_.on_timer(now);
    edits_.on_timer(now.steady);
    if (operators_) {
        operators_->on_timer(now);
        directory_->on_timer(now.steady);
        departures_->on_timer(now.steady);
        departure_lookup_->on_timer(now.steady);
    }
    if (upstream_ && (now.steady >= announcement_expires_ || (withdraw_at_ && now.steady >= *withdraw_at_))) {
        on_upstream_withdrawn(now);
    }
    continue_drain();
    run_tasks();
}

void node::on_drain(const time_sample now) {
    now_ = now;
    if (!drain_started_) {
        drain_started_ = now.steady;
        continue_drain();
    }
    run_tasks();
}

// Callers need seconds to switch to another node, other nodes some hundred milliseconds, and the upstream keeps
// running. So it stays in use while the callers leave; otherwise a rolling restart takes each upstream out of use for
// twice as long.
void node::continue_drain() {
    if (drain_started_ && now_.steady >= *drain_started_ + options_.drain_leave_delay &&
        !std::exchange(leave_announced_, true)) {
        membership_.start_leaving(now_);
    }
    if (const auto end = work_end()) {
        ledger_.limit_work(*end);
    }
    if (refuses_work()) {
        ledger_.drain(now_);
    }
}

std::optional<steady_time> node::work_end() const noexcept {
    const auto is_limited = drain_started_ && options_.drain_work_limit > std::chrono::milliseconds{} &&
                            now_.steady >= *drain_started_ + options_.drain_switch_time;
    return is_limited ? std::optional{*drain_started_ + options_.drain_work_limit} : std::nullopt;
}

bool node::may_outlast_drain(const call_request& call) const {
    const auto end = work_end();
    if (!end) {
        return false;
    }
    auto duration = call.timeout > std::chrono::milliseconds{} ? call.timeout : options_.calls.default_timeout;
    if (const auto limit = operators_ ? operators_->find_timeout(call) : std::nullopt) {
        duration = std::min(duration, *limit);
    }
    return now_.steady + duration > *end;
}

// Callers whose data centre has lost half of its nodes return to a node that is not ready. Their calls fail if the
// process has ended and are served while it still runs. Once it refuses work, a restart helps them more than further
// refusals.
bool node::drained(const time_sample now) const noexcept {
    if (!drain_started_ || now.steady - *drain_started_ < options_.min_drain_time || in_progress() != 0) {
        return false;
    }
    const auto refusal_time_over =
        options_.drain_refusal_time > std::chrono::milliseconds{} &&
        now.steady >= *drain_started_ + options_.drain_refusal_delay + options_.drain_refusal_time;
    return refusal_time_over || !last_call_ || now.steady - *last_call_ >= options_.drain_idle_time;
}

std::size_t node::in_progress() const noexcept {
    return dispatcher_.in_progress() + ledger_.in_progress();
}

void node::leave_cluster(const time_sample now) {
    now_ = now;
    invariants_.check(invariant_id::drain_cuts_nothing, !drain_started_ || in_progress() == 0);
    // Requests that arrive from now on are refused because the process ends before it could respond to them.
    leaving_ = true;
    ledger_.drain(now);
    membership_.finish_leaving(now);
    run_tasks();
}

void node::run_tasks() {
    if (std::exchange(running_tasks_, true)) {
        return;
    }
    advertise_position();
    while (!tasks_.empty()) {
        const auto work = std::move(tasks_.front());
        tasks_.pop_front();
        work();
        advertise_position();
    }
    running_tasks_ = false;
    if (ready() && !std::exchange(ready_reported_, true)) {
        options_.hooks.event(became_ready{.position = position()});
    }
    update_timer();
}

void node::advertise_position() {
    record_origin_.on_position(position());
    if (position() > advertised_position_) {
        advertised_position_ = position();
        membership_.set_position(advertised_position_, now_);
    }
}

void node::update_timer() {
    const auto next = next_timer();
    if (next && next != scheduled_timer_) {
        scheduled_timer_ = next;
        options_.hooks.schedule_wake_up(*next);
    }
}

std::optional<steady_time> node::next_timer() const {
    std::optional<steady_time> next;
    const auto consider = [&next](const std::optional<steady_time> due) {
        if (due && (!next || *due < *next)) {
            next = due;
        }
    };
    consider(membership_.next_timer());
    consider(follower_.next_timer());
    consider(rollout_.next_timer());
    consider(dispatcher_.next_timer());
    consider(ledger_.next_timer());
    consider(edits_.next_timer());
    if (operators_) {
        consider(operators_->next_timer());
        consider(directory_->next_timer());
        consider(departures_->next_timer());
        consider(departure_lookup_->next_timer());
    }
    if (upstream_) {
        consider(announcement_expires_);
        consider(withdraw_at_);
    }
    if (drain_started_ && !leave_announced_) {
        consider(*drain_started_ + options_.drain_leave_delay);
    } else if (drain_started_ && !refuses_work() && !work_end() &&
               options_.drain_switch_time < options_.drain_refusal_delay) {
        consider(*drain_started_ + options_.drain_switch_time);
    } else if (drain_started_ && !refuses_work()) {
        consider(*drain_started_ + options_.drain_refusal_delay);
    }
    if (!ready() && now_.steady < started_ + options_.max_member_wait) {
        consider(started_ + options_.max_member_wait);
    }
    return next;
}

} // namespace goldcrestwell
