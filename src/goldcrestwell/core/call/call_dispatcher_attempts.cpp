#include "goldcrestwell/core/call/call_dispatcher.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace goldcrestwell {

namespace {

// The node beside the upstream gives up a little before the caller's deadline, so that its truthful refusal arrives in
// time; one way between data centres takes 1.5 ms.
constexpr std::chrono::milliseconds reply_allowance{5};
constexpr int reply_allowance_part = 10;
// Versions of a service that no longer get calls are forgotten above this number.
constexpr std::size_t most_selectors = 16;

// A call leaves the own data centre only for a queue that is shorter by a quarter of the slots, because reports of far
// nodes are as old as those of near ones; for larger answers by more, up to a whole queue of two calls a slot.
constexpr double least_far_penalty = 0.25;
constexpr double bytes_of_a_penalty = 32'768.0;
constexpr double most_far_penalty = 2.0;
// Each answer moves the average by an eighth.
constexpr double answer_bytes_weight = 8.0;

bool is_safe_method(const std::string_view method) {
    constexpr std::array<std::string_view, 3> safe{"GET", "HEAD", "OPTIONS"};
    return std::ranges::find(safe, method) != safe.end();
}

/** @return True if another node would refuse the call for the same reason. */
bool final_everywhere(const refusal_reason reason) {
    return reason == refusal_reason::too_many_hops || reason == refusal_reason::bad_request ||
           reason == refusal_reason::request_too_large || reason == refusal_reason::calls_refused;
}

} // namespace

std::chrono::milliseconds call_dispatcher::objective_left(const call_state& state, const row_terms& terms,
                                                          const time_sample now) {
    if (terms.objective <= std::chrono::milliseconds{}) {
        return {};
    }
    const auto left = std::chrono::floor<std::chrono::milliseconds>(state.started + terms.objective - now.steady);
    // Zero would mean that the route has no objective.
    return std::max(left, std::chrono::milliseconds{1});
}

attempt_id call_dispatcher::id_of(const attempt& tried) const {
    return {.origin = options_.self, .start_incarnation = options_.start_incarnation, .sequence = tried.sequence};
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
    if (selectors.size() >= most_selectors) {
        std::erase_if(selectors, [](const auto& item) { return item.second.idle(); });
    }
    auto settings = options_.selection;
    settings.seed = random_();
    return selectors.emplace(version, upstream_selector{settings}).first->second;
}

std::optional<upstream_version> call_dispatcher::pick_version(const call_state& state, const bool first) {
    // Names of services have no slash in front, so they do not mix with those of routes that are path prefixes.
    const route_name group{state.route.shares_by_service ? state.route.service.value : state.route.route.value};
    auto picker = pickers_.find(group);
    if (picker == pickers_.end()) {
        picker = pickers_.emplace(group, share_picker{random_()}).first;
    }
    const auto shares = options_.shares(state.route);
    const auto usable = [this, &state](const upstream_version& version) {
        return std::ranges::find(state.refused_versions, version) == state.refused_versions.end() &&
               !options_.candidates(state.route.service, version).empty();
    };
    return first ? picker->second.pick(shares, usable) : picker->second.pick_again(shares, usable);
}

// Answers of some hundred kilobytes fill the links between data centres long before the upstreams are busy.
double call_dispatcher::far_penalty(const route_name& route) const {
    const auto found = answer_bytes_.find(route);
    const auto bytes = found == answer_bytes_.end() ? 0.0 : found->second;
    return std::min(least_far_penalty + bytes / bytes_of_a_penalty, most_far_penalty);
}

void call_dispatcher::learn_size(const route_name& route, const http_response& answer) {
    const auto size = static_cast<double>(answer.body.size());
    const auto [known, created] = answer_bytes_.try_emplace(route, size);
    known->second += (size - known->second) / answer_bytes_weight;
}

std::optional<node_id> call_dispatcher::pick_node(const call_state& state, const upstream_version& version,
                                                  const row_terms& terms, const time_sample now) {
    const auto candidates = options_.candidates(state.route.service, version);
    return selector(state.route.service, version)
        .select(candidates, state.tried, now.steady, terms.limits.max_in_flight, far_penalty(state.route.route));
}

bool call_dispatcher::send_attempt(const std::uint64_t key, call_state& state, const bool first,
                                   const time_sample now) {
    auto earns = first;
    while (const auto version = pick_version(state, std::exchange(earns, false))) {
        const auto terms = options_.terms({.route = state.route.route, .version = *version});
        const auto idempotent = terms.idempotent || (terms.safe_methods && is_safe_method(state.request.method));
        // Rows of a route may differ: a request that may have run goes on only to versions that may repeat it.
        const auto permitted = idempotent || !state.may_have_run;
        const auto target = permitted ? pick_node(state, *version, terms, now) : std::nullopt;
        if (!target) {
            state.refused_versions.push_back(*version);
            continue;
        }
        if (first && terms.limits.timeout > std::chrono::milliseconds{}) {
            state.deadline = std::min(state.deadline, now.steady + terms.limits.timeout);
        }
        state.current = {.sequence = ++last_sequence_,
                         .target = *target,
                         .target_incarnation = options_.start_incarnation_of(*target),
                         .version = *version,
                         .idempotent = idempotent,
                         .terms = terms};
        state.tried.push_back(*target);
        attempts_.emplace(last_sequence_, key);
        selector(state.route.service, *version).on_started(*target);
        if (*target != options_.self) {
            peers_.add(*target, last_sequence_, now.steady);
        }
        report(state, call_step::sent, refusal_reason::none, run_state::unknown);
        transmit(state, terms, now);
        return true;
    }
    return false;
}

void call_dispatcher::transmit(const call_state& state, const row_terms& terms, const time_sample now) {
    const auto left = std::chrono::floor<std::chrono::milliseconds>(state.deadline - now.steady);
    attempt_request request{.id = id_of(state.current),
                            .target_incarnation = state.current.target_incarnation,
                            .route = state.route.route,
                            .service = state.route.service,
                            .version = state.current.version,
                            .idempotent = state.current.idempotent,
                            .limits = terms.limits,
                            .objective = objective_left(state, terms, now),
                            .priority = terms.priority,
                            .call = state.request};
    request.call.timeout = left - std::min(reply_allowance, left / reply_allowance_part);
    options_.send(state.current.target, std::move(request));
}

void call_dispatcher::end_attempt(const call_state& state, const attempt& ended, const selection_outcome outcome,
                                  const time_sample now) {
    attempts_.erase(ended.sequence);
    peers_.remove(ended.target, ended.sequence);
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
        state.refused_versions.push_back(state.current.version);
    }
    const auto repeatable = refusal.state == run_state::not_run || state.current.idempotent;
    if (!repeatable || final_everywhere(refusal.reason)) {
        refuse(found, refusal);
        return;
    }
    const auto failure = retry(found, reason, now);
    if (failure == refusal_reason::none) {
        return;
    }
    auto last = refusal;
    if (failure == refusal_reason::retry_budget_exhausted) {
        last.reason = failure;
    }
    refuse(found, last);
}

refusal_reason call_dispatcher::retry(const call_map::iterator found, const retry_reason reason,
                                      const time_sample now) {
    auto& state = found->second;
    // Without redirects every further try is a retry.
    const auto redirect = options_.max_redirects > 0 && !state.current.reached_upstream;
    const auto most_attempts = state.current.terms.max_attempts;
    const auto retries_used =
        state.retries >= options_.max_retries || (most_attempts != 0 && state.retries + 1 >= most_attempts);
    const auto used_up = redirect ? state.redirects >= options_.max_redirects : retries_used;
    if (used_up || state.deadline <= now.steady) {
        return refusal_reason::deadline_passed;
    }
    if (!options_.invariants->check(invariant_id::at_most_once, state.current.idempotent || !state.may_have_run)) {
        return refusal_reason::duplicate;
    }
    if (!redirect && !service(state.route.service).retries.spend(now)) {
        return refusal_reason::retry_budget_exhausted;
    }
    if (!send_attempt(found->first, state, false, now)) {
        return refusal_reason::no_upstream;
    }
    ++(redirect ? state.redirects : state.retries);
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
    if (state.failed_answer) {
        ++options_.counts->answered;
        report(state, call_step::answered, refusal.reason, run_state::ran);
        finish(found, std::exchange(state.failed_answer, std::nullopt).value());
        return;
    }
    const auto key = found->first;
    auto known = refusal;
    if (state.may_have_run && refusal.state == run_state::not_run) {
        known.state = run_state::unknown;
    }
    report(state, call_step::refused, known.reason, known.state);
    deadlines_.erase({state.deadline, key});
    calls_.erase(found);
    reply_refusal(key, known);
}

void call_dispatcher::reply_refusal(const std::uint64_t key, call_refusal refusal) {
    options_.counts->refusals.add(refusal.reason);
    if (refusal.state == run_state::not_run && refusal.retry_after == std::chrono::milliseconds{}) {
        refusal.retry_after = options_.retry_after;
    }
    options_.reply(call_id{key}, refusal);
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
                     .target = state.current.target,
                     .attempts = state.retries + state.redirects + 1,
                     .reason = reason,
                     .run = run,
                     .objective = state.current.terms.objective,
                     .started = state.started});
}

} // namespace goldcrestwell
