#include "goldcrestwell/core/call/attempt_ledger.hpp"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace goldcrestwell {

namespace {

// At most one attempt that is expected to miss its objective waits for every two slots.
constexpr std::uint32_t slots_per_late_attempt = 2;
// Maximum wait of an attempt in halves of its objective; then it is refused, so that its caller can use another
// upstream.
constexpr int max_wait_half_objectives = 2;
// A nested call waits for at most the objective divided by this. The request that makes it occupies a slot while the
// call waits, so a slow service would otherwise fill the slots of the services that call it.
constexpr int nested_wait_divisor = 2;

row_key row_of(const attempt_request& request) {
    return {.route = request.route, .version = request.version};
}

bool serves(const upstream_info& upstream, const attempt_request& request) {
    return upstream.service == request.service && upstream.version == request.version;
}

call_result to_result(const upstream_result& result, const bool aborted) {
    const auto refuse_as_unknown = [aborted](const refusal_reason reason) {
        return call_refusal{.reason = aborted ? refusal_reason::cancelled : reason, .state = run_state::unknown};
    };
    switch (result.outcome) {
    case upstream_outcome::answered:
        return result.response;
    case upstream_outcome::not_sent:
        return call_refusal{.reason = refusal_reason::upstream_unreachable, .state = run_state::not_run};
    case upstream_outcome::timed_out:
        return refuse_as_unknown(refusal_reason::upstream_timeout);
    case upstream_outcome::truncated:
        return refuse_as_unknown(refusal_reason::answer_truncated);
    case upstream_outcome::too_large:
        return refuse_as_unknown(refusal_reason::answer_too_large);
    case upstream_outcome::rejected:
        return call_refusal{.reason = refusal_reason::upstream_rejected, .state = run_state::not_run};
    case upstream_outcome::invalid:
        return refuse_as_unknown(refusal_reason::answer_invalid);
    case upstream_outcome::out_of_memory:
        return refuse_as_unknown(refusal_reason::out_of_memory);
    case upstream_outcome::reset:
        break;
    }
    return refuse_as_unknown(refusal_reason::upstream_reset);
}

archived_attempt to_archive(const call_result& result) {
    if (const auto* refusal = std::get_if<call_refusal>(&result)) {
        return {.reason = refusal->reason, .state = refusal->state, .response = nullptr};
    }
    return {.reason = refusal_reason::none,
            .state = run_state::ran,
            .response = std::make_shared<const http_response>(std::get<http_response>(result))};
}

} // namespace

attempt_ledger::attempt_ledger(attempt_ledger_options options)
    : options_{std::move(options)}, archive_{{.id_retention = options_.id_retention,
                                              .max_ids = options_.max_ids,
                                              .response_retention = options_.response_retention,
                                              .max_response_bytes = options_.max_response_bytes}} {}

void attempt_ledger::set_upstream(std::optional<upstream_info> upstream, const time_sample now) {
    if (draining_ && !active_.empty()) {
        // Attempts that were accepted before the drain finish at the upstream that they were accepted for.
        return;
    }
    const auto is_unchanged =
        upstream && upstream_ && upstream->service == upstream_->service && upstream->version == upstream_->version;
    if (!is_unchanged) {
        upstream_changed_at_ = now.steady;
        overall_ = {};
        estimates_.clear();
    }
    upstream_ = std::move(upstream);
    refuse_mismatched(now.steady);
    start_next(now.steady);
}

void attempt_ledger::refuse_mismatched(const steady_time now) {
    std::vector<attempt_id> mismatched;
    for (const auto& [id, item] : active_) {
        if (!item.running && !(upstream_ && serves(*upstream_, item.request))) {
            mismatched.push_back(id);
        }
    }
    // The order of a hash map differs between runs of the program, so sorting keeps the replies in a fixed order.
    std::ranges::sort(mismatched);
    const auto reason = upstream_ ? refusal_reason::wrong_upstream : refusal_reason::no_upstream;
    for (const auto& id : mismatched) {
        refuse_queued(active_.find(id), reason, now);
    }
}

// Answers requests that are not new.
bool attempt_ledger::is_new(const node_id from, const attempt_request& request, const time_sample now) {
    const auto& id = request.id;
    if (from != id.origin) {
        options_.counts->drops.add(drop_reason::unknown_sender);
        return false;
    }
    if (request.target_incarnation != options_.start_incarnation) {
        options_.counts->attempt_refusals.add(refusal_reason::wrong_life);
        send_result(id, call_refusal{.reason = refusal_reason::wrong_life, .state = run_state::not_run});
        return false;
    }
    if (active_.contains(id)) {
        // The first copy of the request is in progress; only it is answered.
        options_.counts->attempt_refusals.add(refusal_reason::duplicate);
        return false;
    }
    archive_.expire(now.steady);
    if (const auto* ended = archive_.find(id)) {
        const auto was_never_seen = ended->reason == refusal_reason::never_seen_before;
        options_.counts->attempt_refusals.add(was_never_seen ? ended->reason : refusal_reason::duplicate);
        resend_result(id, *ended);
        return false;
    }
    if (archive_.may_have_been_seen(id)) {
        options_.counts->attempt_refusals.add(refusal_reason::duplicate);
        send_result(id, call_refusal{.reason = refusal_reason::duplicate, .state = run_state::unknown});
        return false;
    }
    return true;
}

void attempt_ledger::on_oversized_request(const node_id from, const attempt_request& request, const time_sample now) {
    if (is_new(from, request, now)) {
        report(request, config_version(), refusal_reason::out_of_memory, {}, {});
        refuse_new(request.id, refusal_reason::out_of_memory, now.steady);
    }
}

void attempt_ledger::on_request(const node_id from, const attempt_request& request, const time_sample now) {
    if (!is_new(from, request, now)) {
        return;
    }
    if (const auto reason = check_admission(request, now.steady); reason != refusal_reason::none) {
        report(request, config_version(), reason, {}, {});
        refuse_new(request.id, reason, now.steady);
        return;
    }
    enqueue(request, now.steady);
    start_next(now.steady);
}

refusal_reason attempt_ledger::check_admission(const attempt_request& request, const steady_time now) {
    if (draining_ || (work_end_ && now + request.call.timeout > *work_end_)) {
        return refusal_reason::draining;
    }
    if (!upstream_) {
        return refusal_reason::no_upstream;
    }
    if (!serves(*upstream_, request)) {
        return refusal_reason::wrong_upstream;
    }
    if (request.call.timeout <= std::chrono::milliseconds{}) {
        return refusal_reason::deadline_passed;
    }
    if (archive_.size() + active_.size() >= options_.max_ids) {
        return refusal_reason::queue_full;
    }
    if (options_.is_row_failing && options_.is_row_failing(row_of(request))) {
        return refusal_reason::upstream_failing;
    }
    if (const auto reason = check_queue(request, now); reason != refusal_reason::none) {
        return reason;
    }
    return throttle_.admit(row_of(request), now) ? refusal_reason::none : refusal_reason::calls_refused;
}

refusal_reason attempt_ledger::check_queue(const attempt_request& request, const steady_time now) const {
    const auto row = row_of(request);
    const auto row_slots = row_capacity(request.limits);
    if (busy_slots_ < capacity() && queue_.running(row) < row_slots) {
        return refusal_reason::none;
    }
    const auto row_queued = queue_.queued(row);
    const auto row_full = request.limits.max_queue != 0 && row_queued >= request.limits.max_queue;
    if (row_full || queue_.size() >= options_.max_queue) {
        return refusal_reason::queue_full;
    }
    if (!options_.deadline_aware) {
        return refusal_reason::none;
    }
    if (request.objective > std::chrono::milliseconds{}) {
        return check_objective(request, now);
    }
    const auto rounds =
        std::max(static_cast<double>(queue_.size() + 1) / capacity(), static_cast<double>(row_queued + 1) / row_slots);
    const std::chrono::duration<double, std::micro> expected = overall_.mean * rounds + service_time_upper_bound(row);
    return expected > request.call.timeout ? refusal_reason::deadline_passed : refusal_reason::none;
}

// Attempts that are expected to meet their objective may wait. Late ones get slots only when no attempt in time needs
// them, which is rare while others wait, so only a few late ones are queued.
refusal_reason attempt_ledger::check_objective(const attempt_request& request, const steady_time now) const {
    const auto wait = expected_wait(queue_key_of(request, now), now);
    const auto expected_duration = wait + service_time(row_of(request));
    if (request.call.hops > 1) {
        // Only the wait is compared with the objective: a slow upstream, whose service time alone exceeds half of it,
        // would otherwise refuse every nested call while its slots are busy, and each refusal wastes the run that made
        // the call.
        const auto may_wait =
            wait <= request.objective / nested_wait_divisor && expected_duration <= request.call.timeout;
        return may_wait ? refusal_reason::none : refusal_reason::deadline_passed;
    }
    if (expected_duration <= request.objective) {
        return refusal_reason::none;
    }
    const auto late_count = queue_.late_count([this](const row_key& row) { return service_time(row); }, now);
    const auto may_wait = late_count < std::max<size_type>(capacity() / slots_per_late_attempt, 1);
    return may_wait && expected_duration <= request.call.timeout ? refusal_reason::none
                                                                 : refusal_reason::deadline_passed;
}

void attempt_ledger::enqueue(const attempt_request& request, const steady_time now) {
    entry item{.request = request, .config_version = config_version()};
    item.arrived = now;
    item.deadline = now + request.call.timeout;
    item.queue_deadline = item.deadline;
    if (request.objective > std::chrono::milliseconds{}) {
        const auto max_wait = request.call.hops > 1 ? request.objective / nested_wait_divisor
                                                    : request.objective * max_wait_half_objectives / 2;
        item.queue_deadline = std::min(item.deadline, now + max_wait);
    }
    queue_deadlines_.emplace(item.queue_deadline, request.id);
    queue_.push(row_of(request), request.id, queue_key_of(request, now));
    active_.emplace(request.id, std::move(item));
}

void attempt_ledger::start_next(const steady_time now) {
    const auto limit = [this](const attempt_id& id) {
        return row_capacity(active_.at(id).request.limits);
    };
    while (upstream_ && busy_slots_ < capacity()) {
        const auto id = queue_.pop(
            limit, [this](const row_key& row) { return service_time(row); }, now);
        if (!id) {
            return;
        }
        const auto found = active_.find(*id);
        // Without a running call, an attempt starts even if the estimate exceeds its deadline, so that a too large
        // estimate is corrected.
        const auto required_time = options_.deadline_aware && busy_slots_ > 0
                                       ? service_time_upper_bound(row_of(found->second.request))
                                       : std::chrono::microseconds{};
        if (found->second.deadline <= now + required_time) {
            refuse_queued(found, refusal_reason::deadline_passed, now);
            continue;
        }
        run(*id, found->second, now);
    }
}

void attempt_ledger::run(const attempt_id& id, entry& item, const steady_time now) {
    const auto id_is_unused = !item.running && archive_.find(id) == nullptr;
    if (!options_.invariants->check(invariant_id::at_most_once, id_is_unused)) {
        return;
    }
    queue_deadlines_.erase({item.queue_deadline, id});
    item.running = true;
    item.started = now;
    item.cold = now - upstream_changed_at_ < options_.cold_period;
    ++busy_slots_;
    queue_.on_started(row_of(item.request));
    const auto remaining = std::chrono::floor<std::chrono::milliseconds>(item.deadline - now);
    item.request.call.timeout = std::max(remaining, std::chrono::milliseconds{1});
    running_.add(item.request.call.request_id, {.row = row_of(item.request), .hops = item.request.call.hops});
    options_.start_upstream(id, item.request.call, item.request.call.timeout);
    // The upstream client owns the rest of the request.
    item.request.call = {.request_id = std::move(item.request.call.request_id), .hops = item.request.call.hops};
}

void attempt_ledger::on_query(const node_id from, const attempt_query& query, const time_sample now) {
    const auto& id = query.id;
    if (from != id.origin) {
        options_.counts->drops.add(drop_reason::unknown_sender);
        return;
    }
    const auto send_status = [this, from, &id](const attempt_progress progress) {
        options_.send(from, attempt_status{.id = id, .progress = progress});
    };
    if (query.target_incarnation != options_.start_incarnation) {
        // Only the previous process of this node had a record of the attempt.
        send_status(attempt_progress::lost);
        return;
    }
    if (const auto found = active_.find(id); found != active_.end()) {
        send_status(found->second.running ? attempt_progress::running : attempt_progress::queued);
        return;
    }
    if (const auto* ended = archive_.find(id)) {
        resend_result(id, *ended);
        return;
    }
    if (archive_.may_have_been_seen(id)) {
        send_status(attempt_progress::lost);
        return;
    }
    refuse_new(id, refusal_reason::never_seen_before, now.steady);
}

void attempt_ledger::on_cancel(const node_id from, const attempt_cancel& cancel, const time_sample now) {
    const auto& id = cancel.id;
    if (from != id.origin) {
        options_.counts->drops.add(drop_reason::unknown_sender);
        return;
    }
    const auto found = active_.find(id);
    if (found == active_.end()) {
        // The request may still be in transit; archiving its id as cancelled makes the ledger refuse it on arrival.
        if (archive_.find(id) == nullptr && !archive_.may_have_been_seen(id)) {
            refuse_new(id, refusal_reason::cancelled, now.steady);
        }
        return;
    }
    if (!found->second.running) {
        queue_.erase(row_of(found->second.request), id);
        refuse_queued(found, refusal_reason::cancelled, now.steady);
        return;
    }
    if (!std::exchange(found->second.aborted, true)) {
        options_.abort_upstream(id);
    }
}

void attempt_ledger::on_upstream_result(const attempt_id& id, const upstream_result& result, const time_sample now) {
    const auto found = active_.find(id);
    if (found == active_.end() || !found->second.running) {
        options_.counts->drops.add(drop_reason::late_reply);
        return;
    }
    const auto item = std::move(found->second);
    active_.erase(found);
    --busy_slots_;
    queue_.on_finished(row_of(item.request));
    const auto finished = running_.remove(item.request.call.request_id);
    update_service_time(item, result, now.steady);
    observe(item, result, finished && finished->call_failed, now.steady);
    const auto outcome = to_result(result, item.aborted);
    archive_.add(id, to_archive(outcome), now.steady);
    const auto* refusal = std::get_if<call_refusal>(&outcome);
    if (refusal != nullptr) {
        options_.counts->attempt_refusals.add(refusal->reason);
    }
    report(item.request, item.config_version, refusal != nullptr ? refusal->reason : refusal_reason::none,
           item.started - item.arrived, now.steady - item.started);
    send_result(id, outcome);
    start_next(now.steady);
}

void attempt_ledger::on_nested_call(const std::string_view call_id, const row_key& row,
                                    const nested_call_outcome outcome, const time_sample now) {
    throttle_.on_nested_call(row, outcome == nested_call_outcome::refused, now.steady);
    if (outcome != nested_call_outcome::succeeded) {
        running_.on_call_failed(call_id);
    }
}

void attempt_ledger::observe(const entry& item, const upstream_result& result, const bool call_failed,
                             const steady_time now) {
    // Aborted calls and calls that never reached the upstream are no evidence about the version.
    if (!options_.observe || item.aborted || result.outcome == upstream_outcome::not_sent ||
        result.outcome == upstream_outcome::rejected) {
        return;
    }
    const auto failed = result.outcome != upstream_outcome::answered || result.response.status >= 500;
    // The request could not succeed at any version, so it is excluded from the comparison of versions.
    if (failed && call_failed) {
        return;
    }
    const auto connection_lost =
        result.outcome != upstream_outcome::answered && result.outcome != upstream_outcome::timed_out;
    options_.observe({.row = row_of(item.request),
                      .failed = failed,
                      .connection_lost = connection_lost,
                      .latency = now - item.started,
                      .cold = item.cold});
}

void attempt_ledger::drain(const time_sample now) {
    draining_ = true;
    start_next(now.steady);
}

} // namespace goldcrestwell
