#include "goldcrestwell/core/call/call_dispatcher.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace goldcrestwell {

namespace {

// The upstream's node ends the attempt slightly before the caller's deadline, so that its refusal, which states whether
// the request ran, arrives in time; one way between data centres takes 1.5 ms.
constexpr std::chrono::milliseconds reply_margin{5};
constexpr int reply_margin_divisor = 10;
// Above this number, selectors of versions without calls in flight are removed.
constexpr std::size_t max_selectors = 16;

// A call goes to another data centre only if the queue there is shorter by at least a quarter of the slots, because
// load reports of remote nodes are as old as those of local ones. The required difference grows with the size of the
// responses, up to a queue of two calls per slot.
constexpr double min_remote_penalty = 0.25;
constexpr double bytes_per_penalty = 32'768.0;
constexpr double max_remote_penalty = 2.0;
// Each sample has a weight of one eighth.
constexpr double response_size_smoothing = 8.0;

bool is_safe_method(const std::string_view method) {
    constexpr std::array<std::string_view, 3> safe{"GET", "HEAD", "OPTIONS"};
    return std::ranges::find(safe, method) != safe.end();
}

/** @brief Checks whether every other node would refuse the call for the same reason. */
bool is_final_at_every_node(const refusal_reason reason) {
    return reason == refusal_reason::too_many_hops || reason == refusal_reason::bad_request ||
           reason == refusal_reason::request_too_large || reason == refusal_reason::calls_refused;
}

} // namespace

std::chrono::milliseconds call_dispatcher::remaining_objective(const call_state& state, const row_policy& policy,
                                                               const time_sample now) {
    if (policy.objective <= std::chrono::milliseconds{}) {
        return {};
    }
    const auto left = std::chrono::floor<std::chrono::milliseconds>(state.started + policy.objective - now.steady);
    // Zero would state that the route has no objective.
    return std::max(left, std::chrono::milliseconds{1});
}

attempt_id call_dispatcher::id_of(const attempt& sent) const {
    return {.origin = options_.self, .start_incarnation = options_.start_incarnation, .sequence = sent.sequence};
}

service_state& call_dispatcher::service(const service_name& name) {
    const auto found = services_.find(name);
    if (found != services_.end()) {
        return found->second;
    }
    return services_.emplace(name, service_state{.retries = retry_budget{options_.retries}, .selectors = {}})
        .first->second;
}

upstream_selector& call_dispatcher::selector(const service_name& name, const upstream_version& version) {
    auto& selectors = service(name).selectors;
    if (const auto found = selectors.find(version); found != selectors.end()) {
        return found->second;
    }
    if (selectors.size() >= max_selectors) {
        std::erase_if(selectors, [](const auto& item) { return item.second.is_idle(); });
    }
    auto settings = options_.selection;
    settings.seed = random_();
    return selectors.emplace(version, upstream_selector{settings}).first->second;
}

std::optional<upstream_version> call_dispatcher::pick_version(const call_state& state, const bool is_first) {
    // Service names do not start with a slash, so they can not collide with routes, which are path prefixes.
    const route_name group{state.route.shares_by_service ? state.route.service.value : state.route.route.value};
    auto picker = pickers_.find(group);
    if (picker == pickers_.end()) {
        picker = pickers_.emplace(group, share_picker{random_()}).first;
    }
    const auto shares = options_.shares(state.route);
    const auto usable = [this, &state](const upstream_version& version) {
        return std::ranges::find(state.excluded_versions, version) == state.excluded_versions.end() &&
               !options_.candidates(state.route.service, version).empty();
    };
    return is_first ? picker->second.pick(shares, usable) : picker->second.pick_retry(shares, usable);
}

// Responses of a few hundred kilobytes saturate the links between data centres long before the upstreams are busy.
double call_dispatcher::remote_penalty(const route_name& route) const {
    const auto found = response_bytes_.find(route);
    const auto bytes = found == response_bytes_.end() ? 0.0 : found->second;
    return std::min(min_remote_penalty + bytes / bytes_per_penalty, max_remote_penalty);
}

void call_dispatcher::update_response_size(const route_name& route, const http_response& response) {
    const auto size = static_cast<double>(response.body.size());
    const auto [known, created] = response_bytes_.try_emplace(route, size);
    known->second += (size - known->second) / response_size_smoothing;
}

std::optional<node_id> call_dispatcher::pick_node(const call_state& state, const upstream_version& version,
                                                  const row_policy& policy, const time_sample now) {
    const auto candidates = options_.candidates(state.route.service, version);
    return selector(state.route.service, version)
        .select(candidates, state.tried_nodes, now.steady, policy.limits.max_in_flight,
                remote_penalty(state.route.route));
}

bool call_dispatcher::send_attempt(const std::uint64_t key, call_state& state, const bool is_first,
                                   const time_sample now) {
    auto is_first_pick = is_first;
    while (const auto version = pick_version(state, std::exchange(is_first_pick, false))) {
        const auto policy = options_.find_policy({.route = state.route.route, .version = *version});
        const auto idempotent =
            policy.idempotent || (policy.retry_safe_methods && is_safe_method(state.request.method));
        // The rows of a route may differ: a request that may have run is sent only to versions whose row allows a
        // repeat.
        const auto may_run = idempotent || !state.may_have_run;
        const auto target = may_run ? pick_node(state, *version, policy, now) : std::nullopt;
        if (!target) {
            state.excluded_versions.push_back(*version);
            continue;
        }
        if (is_first && policy.limits.timeout > std::chrono::milliseconds{}) {
            state.deadline = std::min(state.deadline, now.steady + policy.limits.timeout);
        }
        state.current = {.sequence = ++last_sequence_,
                         .target = *target,
                         .target_incarnation = options_.start_incarnation_of(*target),
                         .version = *version,
                         .idempotent = idempotent,
                         .policy = policy};
        state.tried_nodes.push_back(*target);
        attempts_.emplace(last_sequence_, key);
        selector(state.route.service, *version).on_started(*target);
        if (*target != options_.self) {
            peer_monitor_.add(*target, last_sequence_, now.steady);
        }
        report(state, call_step::sent, refusal_reason::none, run_state::unknown);
        transmit(state, policy, now);
        return true;
    }
    return false;
}

void call_dispatcher::transmit(const call_state& state, const row_policy& policy, const time_sample now) {
    const auto left = std::chrono::floor<std::chrono::milliseconds>(state.deadline - now.steady);
    attempt_request request{.id = id_of(state.current),
                            .target_incarnation = state.current.target_incarnation,
                            .route = state.route.route,
                            .service = state.route.service,
                            .version = state.current.version,
                            .idempotent = state.current.idempotent,
                            .limits = policy.limits,
                            .objective = remaining_objective(state, policy, now),
                            .priority = policy.priority,
                            .call = state.request};
    request.call.timeout = left - std::min(reply_margin, left / reply_margin_divisor);
    options_.send(state.current.target, std::move(request));
}

void call_dispatcher::end_attempt(const call_state& state, const attempt& ended, const selection_outcome outcome,
                                  const time_sample now) {
    attempts_.erase(ended.sequence);
    peer_monitor_.remove(ended.target, ended.sequence);
    selector(state.route.service, ended.version).on_finished(ended.target, outcome, now.steady);
}

void call_dispatcher::on_refusal(const call_map::iterator found, const call_refusal& refusal, const retry_reason reason,
                                 const time_sample now) {
    auto& state = found->second;
    if (refusal.state != run_state::not_run) {
        state.may_have_run = true;
    }
    state.current.reached_upstream =
        refusal.state != run_state::not_run || refusal.reason == refusal_reason::upstream_rejected;
    if (refusal.reason == refusal_reason::upstream_failing) {
        state.excluded_versions.push_back(state.current.version);
    }
    const auto repeatable = refusal.state == run_state::not_run || state.current.idempotent;
    if (!repeatable || is_final_at_every_node(refusal.reason)) {
        refuse(found, refusal);
        return;
    }
    const auto failure = retry(found, reason, now);
    if (failure == refusal_reason::none) {
        return;
    }
    auto final_refusal = refusal;
    if (failure == refusal_reason::retry_budget_exhausted) {
        final_refusal.reason = failure;
    }
    refuse(found, final_refusal);
}

refusal_reason call_dispatcher::retry(const call_map::iterator found, const retry_reason reason,
                                      const time_sample now) {
    auto& state = found->second;
    // Without redirects, every further attempt counts as a retry.
    const auto is_redirect = options_.max_redirects > 0 && !state.current.reached_upstream;
    const auto attempt_limit = state.current.policy.max_attempts;
    const auto retries_used =
        state.retries >= options_.max_retries || (attempt_limit != 0 && state.retries + 1 >= attempt_limit);
    const auto limit_reached = is_redirect ? state.redirects >= options_.max_redirects : retries_used;
    if (limit_reached || state.deadline <= now.steady) {
        return refusal_reason::deadline_passed;
    }
    if (!options_.invariants->check(invariant_id::at_most_once, state.current.idempotent || !state.may_have_run)) {
        return refusal_reason::duplicate;
    }
    if (!is_redirect && !service(state.route.service).retries.try_spend(now)) {
        return refusal_reason::retry_budget_exhausted;
    }
    if (!send_attempt(found->first, state, false, now)) {
        return refusal_reason::no_upstream;
    }
    ++(is_redirect ? state.redirects : state.retries);
    options_.counts->retries.add(reason);
    return refusal_reason::none;
}

void call_dispatcher::finish(const call_map::iterator found, const call_result& result) {
    const auto key = found->first;
    deadlines_.erase({found->second.deadline, key});
    calls_.erase(found);
    options_.reply(call_id{key}, result);
}

void call_dispatcher::refuse(const call_map::iterator found, const call_refusal& refusal) {
    auto& state = found->second;
    if (state.failed_response) {
        ++options_.counts->answered;
        report(state, call_step::answered, refusal.reason, run_state::ran);
        finish(found, std::exchange(state.failed_response, std::nullopt).value());
        return;
    }
    const auto key = found->first;
    auto final_refusal = refusal;
    if (state.may_have_run && refusal.state == run_state::not_run) {
        final_refusal.state = run_state::unknown;
    }
    report(state, call_step::refused, final_refusal.reason, final_refusal.state);
    deadlines_.erase({state.deadline, key});
    calls_.erase(found);
    reply_refusal(key, final_refusal);
}

void call_dispatcher::reply_refusal(const std::uint64_t key, call_refusal refusal) {
    options_.counts->refusals.add(refusal.reason);
    if (refusal.state == run_state::not_run && refusal.retry_after == std::chrono::milliseconds{}) {
        refusal.retry_after = options_.retry_after;
    }
    options_.reply(call_id{key}, refusal);
}

void call_dispatcher::refuse_new(const std::uint64_t key, const call_request& request, const refusal_reason reason,
                                 const time_sample now) {
    if (options_.report) {
        options_.report({.step = call_step::refused,
                         .request_id = request.request_id,
                         .config_version = config_version(),
                         .reason = reason,
                         .run = run_state::not_run,
                         .started = now.steady});
    }
    reply_refusal(key, {.reason = reason, .state = run_state::not_run});
}

std::uint64_t call_dispatcher::config_version() const {
    return options_.config_version ? options_.config_version() : 0;
}

void call_dispatcher::report(const call_state& state, const call_step step, const refusal_reason reason,
                             const run_state run) const {
    if (!options_.report) {
        return;
    }
    options_.report({.step = step,
                     .request_id = state.request.request_id,
                     .route = state.route.route,
                     .service = state.route.service,
                     .version = state.current.version,
                     .config_version = state.config_version,
                     .target = state.current.target,
                     .attempts = state.retries + state.redirects + 1,
                     .reason = reason,
                     .run = run,
                     .objective = state.current.policy.objective,
                     .started = state.started});
}

} // namespace goldcrestwell
