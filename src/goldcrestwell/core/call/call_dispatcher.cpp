#include "goldcrestwell/core/call/call_dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

// Two lost connections without a frame in between mean that the host is down or unreachable, not just a connection.
constexpr std::uint32_t dead_peer_losses = 2;
constexpr std::uint32_t min_failure_status = 500;

retry_reason retry_reason_of(const call_refusal& refusal) {
    if (refusal.state == run_state::not_run) {
        return refusal.reason == refusal_reason::never_seen_before ? retry_reason::never_seen
                                                                   : retry_reason::not_run_elsewhere;
    }
    return refusal.reason == refusal_reason::upstream_timeout ? retry_reason::idempotent_timeout
                                                              : retry_reason::idempotent_upstream_failure;
}

/** @brief Returns the outcome for the selection of upstreams; refusals for lack of capacity are neutral. */
selection_outcome selection_outcome_of(const call_result& result) {
    if (const auto* response = std::get_if<http_response>(&result)) {
        return response->status >= min_failure_status ? selection_outcome::failure : selection_outcome::success;
    }
    const auto& refusal = std::get<call_refusal>(result);
    switch (refusal.reason) {
    case refusal_reason::queue_full:
    case refusal_reason::deadline_passed:
    case refusal_reason::calls_refused:
    case refusal_reason::cancelled:
    case refusal_reason::duplicate:
    case refusal_reason::never_seen_before:
    case refusal_reason::bad_request:
    case refusal_reason::request_too_large:
    case refusal_reason::out_of_memory:
        return selection_outcome::neutral;
    default:
        return selection_outcome::failure;
    }
}

} // namespace

call_dispatcher::call_dispatcher(call_dispatcher_options options)
    : options_{std::move(options)}, random_{options_.seed}, peer_monitor_{options_.heartbeat_interval,
                                                                          options_.silence_timeout} {}

refusal_reason call_dispatcher::check_request(const call_request& request) const {
    if (calls_.size() >= options_.max_calls) {
        return refusal_reason::queue_full;
    }
    return request.hops >= options_.max_hops ? refusal_reason::too_many_hops : refusal_reason::none;
}

call_id call_dispatcher::start(call_request request, const time_sample now) {
    const auto key = ++last_call_;
    ++options_.counts->calls;
    if (const auto reason = check_request(request); reason != refusal_reason::none) {
        refuse_new(key, request, reason, now);
        return call_id{key};
    }
    auto route = options_.find_route(request);
    if (!route) {
        refuse_new(key, request, refusal_reason::no_route, now);
        return call_id{key};
    }
    const auto timeout = request.timeout > std::chrono::milliseconds{} ? request.timeout : options_.default_timeout;
    ++request.hops;
    service(route->service).retries.on_call(now);
    const auto found = calls_.emplace(key, call_state{}).first;
    auto& state = found->second;
    state.request = std::move(request);
    state.route = std::move(*route);
    state.config_version = config_version();
    state.started = now.steady;
    state.deadline = now.steady + std::min(timeout, options_.max_timeout);
    const auto sent = send_attempt(key, state, true, now);
    deadlines_.emplace(state.deadline, key);
    if (!sent) {
        refuse(found, {.reason = refusal_reason::no_upstream, .state = run_state::not_run});
    }
    return call_id{key};
}

void call_dispatcher::cancel(const call_id call, const time_sample now) {
    const auto found = calls_.find(call.value());
    if (found == calls_.end()) {
        return;
    }
    const auto& state = found->second;
    report(state, call_step::cancelled, refusal_reason::cancelled, run_state::unknown);
    options_.send(state.current.target, attempt_cancel{.id = id_of(state.current)});
    end_attempt(state, state.current, selection_outcome::neutral, now);
    deadlines_.erase({state.deadline, found->first});
    calls_.erase(found);
}

call_dispatcher::call_map::iterator call_dispatcher::find_attempt(const node_id from, const attempt_id& id) {
    if (id.origin != options_.self || id.start_incarnation != options_.start_incarnation) {
        options_.counts->drops.add(drop_reason::crossed_reply);
        return calls_.end();
    }
    const auto known = attempts_.find(id.sequence);
    if (known == attempts_.end()) {
        options_.counts->drops.add(drop_reason::late_reply);
        return calls_.end();
    }
    const auto found = calls_.find(known->second);
    if (found->second.current.target != from) {
        options_.counts->drops.add(drop_reason::crossed_reply);
        return calls_.end();
    }
    const auto matches =
        options_.invariants->check(invariant_id::answer_matches_call, found->second.current.sequence == id.sequence);
    return matches ? found : calls_.end();
}

void call_dispatcher::on_reply(const node_id from, const attempt_reply& reply, const time_sample now) {
    on_frame(from, now);
    const auto found = find_attempt(from, reply.id);
    if (found == calls_.end()) {
        return;
    }
    auto& state = found->second;
    selector(state.route.service, state.current.version).on_load(from, reply.load, now.steady);
    end_attempt(state, state.current, selection_outcome_of(reply.result), now);
    if (const auto* refusal = std::get_if<call_refusal>(&reply.result)) {
        on_refusal(found, *refusal, retry_reason_of(*refusal), now);
        return;
    }
    const auto& response = std::get<http_response>(reply.result);
    update_response_size(state.route.route, response);
    if (retry_failed_response(found, response, now)) {
        return;
    }
    ++options_.counts->answered;
    report(state, call_step::answered, refusal_reason::none, run_state::ran);
    finish(found, reply.result);
}

// Stores the failure response, so that the caller still gets it if the retry ends without a response.
bool call_dispatcher::retry_failed_response(const call_map::iterator found, const http_response& response,
                                            const time_sample now) {
    auto& state = found->second;
    if (response.status < min_failure_status || !state.current.idempotent ||
        !state.current.policy.retry_failed_responses) {
        return false;
    }
    state.current.reached_upstream = true;
    state.may_have_run = true;
    state.failed_response = response;
    return retry(found, retry_reason::idempotent_upstream_failure, now) == refusal_reason::none;
}

void call_dispatcher::on_status(const node_id from, const attempt_status& status, const time_sample now) {
    on_frame(from, now);
    const auto found = find_attempt(from, status.id);
    if (found == calls_.end()) {
        return;
    }
    auto& state = found->second;
    switch (status.progress) {
    case attempt_progress::queued:
    case attempt_progress::running:
        return;
    case attempt_progress::never_seen:
        end_attempt(state, state.current, selection_outcome::neutral, now);
        on_refusal(found, {.reason = refusal_reason::never_seen_before, .state = run_state::not_run},
                   retry_reason::never_seen, now);
        return;
    case attempt_progress::lost:
        end_attempt(state, state.current, selection_outcome::failure, now);
        on_refusal(found, {.reason = refusal_reason::peer_restarted, .state = run_state::unknown},
                   retry_reason::idempotent_peer_lost, now);
        return;
    }
}

void call_dispatcher::on_frame(const node_id from, const time_sample now) {
    peer_monitor_.on_frame(from, now.steady);
}

void call_dispatcher::on_not_sent(const attempt_id& id, const time_sample now) {
    const auto known = attempts_.find(id.sequence);
    if (id.origin != options_.self || id.start_incarnation != options_.start_incarnation || known == attempts_.end()) {
        return;
    }
    const auto found = calls_.find(known->second);
    end_attempt(found->second, found->second.current, selection_outcome::failure, now);
    on_refusal(found, {.reason = refusal_reason::peer_unreachable, .state = run_state::not_run},
               retry_reason::peer_unreachable, now);
}

void call_dispatcher::on_connection_lost(const node_id peer, const time_sample now) {
    handle_loss(peer, peer_monitor_.on_connection_lost(peer, now.steady), now);
}

void call_dispatcher::handle_loss(const node_id peer, const bool query, const time_sample now) {
    if (peer_monitor_.losses(peer) == dead_peer_losses) {
        retry_idempotent(peer, now);
    }
    if (query) {
        query_attempts(peer);
    }
}

void call_dispatcher::query_attempts(const node_id peer) {
    for (const auto sequence : peer_monitor_.outstanding(peer)) {
        const auto& current = calls_.at(attempts_.at(sequence)).current;
        options_.send(peer, attempt_query{.id = id_of(current), .target_incarnation = current.target_incarnation});
    }
}

void call_dispatcher::retry_idempotent(const node_id peer, const time_sample now) {
    for (const auto sequence : peer_monitor_.outstanding(peer)) {
        const auto found = calls_.find(attempts_.at(sequence));
        if (!found->second.current.idempotent) {
            continue;
        }
        const auto previous_attempt = found->second.current;
        const auto previous_may_have_run = std::exchange(found->second.may_have_run, true);
        found->second.current.reached_upstream = true;
        if (retry(found, retry_reason::idempotent_peer_lost, now) != refusal_reason::none) {
            found->second.may_have_run = previous_may_have_run;
            continue;
        }
        options_.send(peer, attempt_cancel{.id = id_of(previous_attempt)});
        end_attempt(found->second, previous_attempt, selection_outcome::failure, now);
    }
}

void call_dispatcher::on_deadlines(const time_sample now) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now.steady) {
        const auto found = calls_.find(deadlines_.begin()->second);
        const auto& state = found->second;
        const auto peer_is_lost = peer_monitor_.losses(state.current.target) > 0;
        options_.send(state.current.target, attempt_cancel{.id = id_of(state.current)});
        end_attempt(state, state.current, peer_is_lost ? selection_outcome::failure : selection_outcome::neutral, now);
        refuse(found, {.reason = peer_is_lost ? refusal_reason::peer_lost : refusal_reason::deadline_passed,
                       .state = run_state::unknown});
    }
}

void call_dispatcher::on_peer_timers(const time_sample now) {
    while (const auto due = peer_monitor_.next_due(now.steady)) {
        const auto [peer, action] = *due;
        if (action == peer_action::send_heartbeat) {
            options_.send(peer, heartbeat{});
        } else if (action == peer_action::replace_connection) {
            options_.replace_connection(peer);
            handle_loss(peer, true, now);
        } else if (action == peer_action::query) {
            query_attempts(peer);
        }
    }
}

void call_dispatcher::on_timer(const time_sample now) {
    on_deadlines(now);
    on_peer_timers(now);
}

std::optional<steady_time> call_dispatcher::next_timer() const {
    auto next = peer_monitor_.next_timer();
    if (!deadlines_.empty()) {
        const auto deadline = deadlines_.begin()->first;
        next = next ? std::min(*next, deadline) : deadline;
    }
    return next;
}

} // namespace goldcrestwell
