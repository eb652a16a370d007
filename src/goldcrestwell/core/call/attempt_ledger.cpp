#include "goldcrestwell/core/call/attempt_ledger.hpp"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace goldcrestwell {

namespace {

// Attempts that will be late wait for one slot in two at most.
constexpr std::uint32_t late_part = 2;
// Halves of the objective after which a waiting attempt is refused, so that its caller can still go elsewhere.
constexpr int late_patience = 2;
// Parts of the objective that a call of a running request waits at most. While it waits, that request holds a slot of
// its own service, so a slow service would fill those that call it.
constexpr int nested_patience = 2;

row_key row_of(const attempt_request& request) {
    return {.route = request.route, .version = request.version};
}

bool serves(const upstream_info& upstream, const attempt_request& request) {
    return upstream.service == request.service && upstream.version == request.version;
}

call_result to_result(const upstream_result& result, const bool aborted) {
    const auto unknown = [aborted](const refusal_reason reason) {
        return call_refusal{.reason = aborted ? refusal_reason::cancelled : reason, .state = run_state::unknown};
    };
    switch (result.outcome) {
    case upstream_outcome::answered:
        return result.response;
    case upstream_outcome::not_sent:
        return call_refusal{.reason = refusal_reason::upstream_unreachable, .state = run_state::not_run};
    case upstream_outcome::timed_out:
        return unknown(refusal_reason::upstream_timeout);
    case upstream_outcome::truncated:
        return unknown(refusal_reason::answer_truncated);
    case upstream_outcome::too_large:
        return unknown(refusal_reason::answer_too_large);
    case upstream_outcome::rejected:
        return call_refusal{.reason = refusal_reason::upstream_rejected, .state = run_state::not_run};
    case upstream_outcome::invalid:
        return unknown(refusal_reason::answer_invalid);
    case upstream_outcome::reset:
        break;
    }
    return unknown(refusal_reason::upstream_reset);
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
    : options_{std::move(options)}, archive_{{.keep_ids = options_.keep_ids,
                                              .max_ids = options_.max_ids,
                                              .keep_answers = options_.keep_answers,
                                              .max_answer_bytes = options_.max_answer_bytes}} {}

void attempt_ledger::set_upstream(std::optional<upstream_info> upstream, const time_sample now) {
    if (draining_ && !active_.empty()) {
        // The drain finishes what was accepted for the upstream that accepted it.
        return;
    }
    const auto same =
        upstream && upstream_ && upstream->service == upstream_->service && upstream->version == upstream_->version;
    if (!same) {
        upstream_since_ = now.steady;
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
    // Hash order differs between runs of a program; replies keep a fixed order.
    std::ranges::sort(mismatched);
    const auto reason = upstream_ ? refusal_reason::wrong_upstream : refusal_reason::no_upstream;
    for (const auto& id : mismatched) {
        refuse_queued(active_.find(id), reason, now);
    }
}

void attempt_ledger::on_request(const node_id from, const attempt_request& request, const time_sample now) {
    const auto& id = request.id;
    if (from != id.origin) {
        options_.counts->drops.add(drop_reason::unknown_sender);
        return;
    }
    if (request.target_incarnation != options_.start_incarnation) {
        options_.counts->attempt_refusals.add(refusal_reason::wrong_life);
        send_result(id, call_refusal{.reason = refusal_reason::wrong_life, .state = run_state::not_run});
        return;
    }
    if (active_.contains(id)) {
        // The copy that came first is in progress and gets the only reply.
        options_.counts->attempt_refusals.add(refusal_reason::duplicate);
        return;
    }
    archive_.expire(now.steady);
    if (const auto* ended = archive_.find(id)) {
        const auto late = ended->reason == refusal_reason::never_seen_before;
        options_.counts->attempt_refusals.add(late ? ended->reason : refusal_reason::duplicate);
        repeat(id, *ended);
        return;
    }
    if (archive_.may_be_forgotten(id)) {
        options_.counts->attempt_refusals.add(refusal_reason::duplicate);
        send_result(id, call_refusal{.reason = refusal_reason::duplicate, .state = run_state::unknown});
        return;
    }
    if (const auto reason = admission(request, now.steady); reason != refusal_reason::none) {
        report(request, reason, {}, {});
        refuse_new(id, reason, now.steady);
        return;
    }
    enqueue(request, now.steady);
    start_next(now.steady);
}

refusal_reason attempt_ledger::admission(const attempt_request& request, const steady_time now) {
    if (draining_) {
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
    if (options_.refuses && options_.refuses(row_of(request))) {
        return refusal_reason::upstream_failing;
    }
    if (const auto reason = queue_verdict(request, now); reason != refusal_reason::none) {
        return reason;
    }
    return throttle_.admit(row_of(request), now) ? refusal_reason::none : refusal_reason::calls_refused;
}

refusal_reason attempt_ledger::queue_verdict(const attempt_request& request, const steady_time now) const {
    const auto row = row_of(request);
    const auto row_slots = row_capacity(request.limits);
    if (busy_slots_ < capacity() && queue_.running(row) < row_slots) {
        return refusal_reason::none;
    }
    const auto waiting = queue_.queued(row);
    const auto row_full = request.limits.max_queue != 0 && waiting >= request.limits.max_queue;
    if (row_full || queue_.size() >= options_.max_queue) {
        return refusal_reason::queue_full;
    }
    if (!options_.deadline_aware) {
        return refusal_reason::none;
    }
    if (request.objective > std::chrono::milliseconds{}) {
        return objective_verdict(request, now);
    }
    const auto turns =
        std::max(static_cast<double>(queue_.size() + 1) / capacity(), static_cast<double>(waiting + 1) / row_slots);
    const std::chrono::duration<double, std::micro> expected = overall_.mean * turns + needed_time(row);
    return expected > request.call.timeout ? refusal_reason::deadline_passed : refusal_reason::none;
}

// An attempt that can be answered in time may wait. One that will be late may take what is left over, and little is
// left while others wait, so only a few of them wait.
refusal_reason attempt_ledger::objective_verdict(const attempt_request& request, const steady_time now) const {
    const auto rank = rank_of(request, now);
    const auto finish = expected_wait(rank, now) + service_time(row_of(request));
    if (request.call.hops > 1) {
        return finish <= request.objective / nested_patience ? refusal_reason::none : refusal_reason::deadline_passed;
    }
    if (finish <= request.objective) {
        return refusal_reason::none;
    }
    const auto late = queue_.late([this](const row_key& row) { return service_time(row); }, now);
    const auto room = late < std::max<size_type>(capacity() / late_part, 1);
    return room && finish <= request.call.timeout ? refusal_reason::none : refusal_reason::deadline_passed;
}

void attempt_ledger::enqueue(const attempt_request& request, const steady_time now) {
    entry item{.request = request};
    item.arrived = now;
    item.deadline = now + request.call.timeout;
    item.wait_until = item.deadline;
    if (request.objective > std::chrono::milliseconds{}) {
        const auto longest =
            request.call.hops > 1 ? request.objective / nested_patience : request.objective * late_patience / 2;
        item.wait_until = std::min(item.deadline, now + longest);
    }
    deadlines_.emplace(item.wait_until, request.id);
    queue_.push(row_of(request), request.id, rank_of(request, now));
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
        // With nothing running, the call is tried even if it looks too late, so that the estimate can recover.
        const auto needed = options_.deadline_aware && busy_slots_ > 0 ? needed_time(row_of(found->second.request))
                                                                       : std::chrono::microseconds{};
        if (found->second.deadline <= now + needed) {
            refuse_queued(found, refusal_reason::deadline_passed, now);
            continue;
        }
        run(*id, found->second, now);
    }
}

void attempt_ledger::run(const attempt_id& id, entry& item, const steady_time now) {
    const auto unused = !item.running && archive_.find(id) == nullptr;
    if (!options_.invariants->check(invariant_id::at_most_once, unused)) {
        return;
    }
    deadlines_.erase({item.wait_until, id});
    item.running = true;
    item.started = now;
    item.cold = now - upstream_since_ < options_.cold_time;
    ++busy_slots_;
    queue_.on_started(row_of(item.request));
    const auto left = std::chrono::floor<std::chrono::milliseconds>(item.deadline - now);
    item.request.call.timeout = std::max(left, std::chrono::milliseconds{1});
    running_.add(item.request.call.request_id, {.row = row_of(item.request), .hops = item.request.call.hops});
    options_.start_upstream(id, item.request.call, item.request.call.timeout);
    // The upstream client has the rest.
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
        // Only the earlier process knew what it had sent to the upstream.
        send_status(attempt_progress::lost);
        return;
    }
    if (const auto found = active_.find(id); found != active_.end()) {
        send_status(found->second.running ? attempt_progress::running : attempt_progress::queued);
        return;
    }
    if (const auto* ended = archive_.find(id)) {
        repeat(id, *ended);
        return;
    }
    if (archive_.may_be_forgotten(id)) {
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
        // The request may still be on its way; it is refused when it arrives.
        if (archive_.find(id) == nullptr && !archive_.may_be_forgotten(id)) {
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
    learn_service_time(item, result, now.steady);
    observe(item, result, finished && finished->call_failed, now.steady);
    const auto outcome = to_result(result, item.aborted);
    archive_.add(id, to_archive(outcome), now.steady);
    const auto* refusal = std::get_if<call_refusal>(&outcome);
    if (refusal != nullptr) {
        options_.counts->attempt_refusals.add(refusal->reason);
    }
    report(item.request, refusal != nullptr ? refusal->reason : refusal_reason::none, item.started - item.arrived,
           now.steady - item.started);
    send_result(id, outcome);
    start_next(now.steady);
}

void attempt_ledger::on_own_call(const std::string_view call_id, const row_key& row, const own_call_end end,
                                 const time_sample now) {
    throttle_.on_call(row, end == own_call_end::refused, now.steady);
    if (end != own_call_end::served) {
        running_.on_call_failed(call_id);
    }
}

void attempt_ledger::observe(const entry& item, const upstream_result& result, const bool call_failed,
                             const steady_time now) {
    // An aborted call or one that never reached the upstream says nothing about the version.
    if (!options_.observe || item.aborted || result.outcome == upstream_outcome::not_sent ||
        result.outcome == upstream_outcome::rejected) {
        return;
    }
    const auto failed = result.outcome != upstream_outcome::answered || result.response.status >= 500;
    // The request could not succeed at any version, so both versions are compared by the other requests.
    if (failed && call_failed) {
        return;
    }
    const auto lost = result.outcome != upstream_outcome::answered && result.outcome != upstream_outcome::timed_out;
    options_.observe({.row = row_of(item.request),
                      .failed = failed,
                      .connection_lost = lost,
                      .latency = now - item.started,
                      .cold = item.cold});
}

void attempt_ledger::drain(const time_sample now) {
    draining_ = true;
    start_next(now.steady);
}

} // namespace goldcrestwell
