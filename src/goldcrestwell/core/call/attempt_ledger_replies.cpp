#include "goldcrestwell/core/call/attempt_ledger.hpp"

#include <algorithm>
#include <limits>

namespace goldcrestwell {

namespace {

constexpr std::uint32_t default_slots = 10;

} // namespace

std::uint32_t attempt_ledger::capacity() const {
    if (!upstream_) {
        return 0;
    }
    const auto slots = upstream_->slots == 0 ? default_slots : upstream_->slots;
    return upstream_->connections == 0 ? slots : std::min(slots, upstream_->connections);
}

std::uint32_t attempt_ledger::row_capacity(const row_limits& limits) const {
    // Each running call uses its own connection, so the connection limit also bounds the number of calls.
    auto limit = std::numeric_limits<std::uint32_t>::max();
    for (const auto each : {limits.max_in_flight, limits.max_connections}) {
        limit = each == 0 ? limit : std::min(limit, each);
    }
    return limit;
}

void attempt_ledger::refuse_new(const attempt_id& id, const refusal_reason reason, const steady_time now) {
    if (!options_.invariants->check(invariant_id::refusal_truthful, !active_.contains(id))) {
        return;
    }
    options_.counts->attempt_refusals.add(reason);
    if (archive_.size() + active_.size() >= options_.max_ids) {
        archive_.raise_floor(id);
    } else {
        archive_.add(id, {.reason = reason, .state = run_state::not_run, .response = nullptr}, now);
    }
    if (reason == refusal_reason::never_seen_before) {
        options_.send(id.origin, attempt_status{.id = id, .progress = attempt_progress::never_seen});
        return;
    }
    send_refusal(id, reason, now);
}

void attempt_ledger::send_refusal(const attempt_id& id, const refusal_reason reason, const steady_time now) {
    const auto lacks_capacity = reason == refusal_reason::deadline_passed || reason == refusal_reason::queue_full ||
                                reason == refusal_reason::calls_refused;
    send_result(id, call_refusal{.reason = reason,
                                 .state = run_state::not_run,
                                 .retry_after = lacks_capacity ? retry_after(id, now) : std::chrono::milliseconds{}});
}

void attempt_ledger::refuse_queued(const entry_map::iterator found, const refusal_reason reason,
                                   const steady_time now) {
    const auto id = found->first;
    const auto& item = found->second;
    if (!options_.invariants->check(invariant_id::refusal_truthful, !item.running)) {
        return;
    }
    const auto is_allowed_in_drain = reason == refusal_reason::deadline_passed || reason == refusal_reason::cancelled;
    if (!options_.invariants->check(invariant_id::drain_cuts_nothing, !draining_ || is_allowed_in_drain)) {
        return;
    }
    report(item.request, item.config_version, reason, now - item.arrived, {});
    queue_.erase({.route = item.request.route, .version = item.request.version}, id);
    queue_deadlines_.erase({item.queue_deadline, id});
    active_.erase(found);
    options_.counts->attempt_refusals.add(reason);
    archive_.add(id, {.reason = reason, .state = run_state::not_run, .response = nullptr}, now);
    send_refusal(id, reason, now);
}

std::uint64_t attempt_ledger::config_version() const {
    return options_.config_version ? options_.config_version() : 0;
}

void attempt_ledger::report(const attempt_request& request, const std::uint64_t config_version,
                            const refusal_reason reason, const std::chrono::microseconds queued,
                            const std::chrono::microseconds at_upstream) const {
    if (!options_.report) {
        return;
    }
    options_.report({.request_id = request.call.request_id,
                     .route = request.route,
                     .version = request.version,
                     .config_version = config_version,
                     .origin = request.id.origin,
                     .reason = reason,
                     .depth = request.call.hops,
                     .queued = queued,
                     .at_upstream = at_upstream,
                     .objective = request.objective,
                     .busy_slots = busy_slots_,
                     .waiting = queue_.size()});
}

void attempt_ledger::resend_result(const attempt_id& id, const archived_attempt& ended) {
    if (ended.response) {
        send_result(id, *ended.response);
        return;
    }
    // Without the response, the reply can only state that the request ran.
    const auto reason = ended.reason == refusal_reason::none ? refusal_reason::duplicate : ended.reason;
    send_result(id, call_refusal{.reason = reason, .state = ended.state});
}

void attempt_ledger::send_result(const attempt_id& id, const call_result& result) {
    const auto load = static_cast<std::uint32_t>(busy_slots_ + queue_.size());
    options_.send(id.origin, attempt_reply{.id = id, .result = result, .load = load});
}

void attempt_ledger::on_timer(const time_sample now) {
    archive_.expire(now.steady);
    while (!queue_deadlines_.empty() && queue_deadlines_.begin()->first <= now.steady) {
        const auto id = queue_deadlines_.begin()->second;
        queue_deadlines_.erase(queue_deadlines_.begin());
        if (const auto found = active_.find(id); found != active_.end()) {
            refuse_queued(found, refusal_reason::deadline_passed, now.steady);
        }
    }
}

std::optional<steady_time> attempt_ledger::next_timer() const {
    auto next = archive_.next_timer();
    if (!queue_deadlines_.empty()) {
        const auto deadline = queue_deadlines_.begin()->first;
        next = next ? std::min(*next, deadline) : deadline;
    }
    return next;
}

} // namespace goldcrestwell
