#include "goldcrestwell/core/routing/upstream_selector.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

// If at most half of a group is ejected, eight draws miss every eligible node less than once in 250 calls.
constexpr std::size_t max_random_draws = 8;
// Bounds the linear search after unsuccessful draws; small groups are searched completely.
constexpr std::size_t max_linear_probes = 64;
constexpr std::uint32_t default_slots = 10;
// With less than a tenth, a service with few calls would never warm up a new upstream.
constexpr double min_slow_start_ratio = 0.1;
// Above this score, the local upstreams have no free slot and remote ones are considered.
constexpr double spillover_score = 1.0;
// One selection in four ignores load reports, so that a node with a wrong report still gets calls, and a node that
// always reports no load attracts only some of them.
constexpr unsigned report_ignore_interval = 4;
// Reported load is capped at this multiple of the slots; a higher value only means that the node is busy.
constexpr std::uint32_t max_reported_load_per_slot = 4;
constexpr std::size_t max_idle_records = 64;

std::uint32_t slots_of(const upstream_candidate& candidate) {
    return candidate.slots == 0 ? default_slots : candidate.slots;
}

} // namespace

upstream_selector::upstream_selector(upstream_selector_options options)
    : outliers_{options.outliers}, options_{options}, random_{options.seed} {}

bool upstream_selector::is_eligible(const upstream_candidate& candidate, const selection_criteria& criteria) const {
    if (std::ranges::find(criteria.tried, candidate.node) != criteria.tried.end()) {
        return false;
    }
    const auto calls = in_flight(candidate.node);
    if (criteria.in_flight_limit != 0 && calls >= criteria.in_flight_limit) {
        return false;
    }
    return outliers_.admits(candidate.node, calls, criteria.now);
}

double upstream_selector::score(const upstream_candidate& candidate, const selection_criteria& criteria) const {
    const auto slots = slots_of(candidate);
    double load = 1.0;
    if (const auto found = nodes_.find(candidate.node.value()); found != nodes_.end()) {
        const auto& state = found->second;
        load += state.in_flight;
        if (criteria.use_reports && criteria.now - state.reported_at < options_.max_report_age) {
            // The report includes the calls that were in flight from this node.
            const auto other_load = state.reported_load - std::min(state.reported_load, state.in_flight_at_report);
            load += std::min(other_load, slots * max_reported_load_per_slot);
        }
    }
    return load / slots;
}

bool upstream_selector::passes_slow_start(const upstream_candidate& candidate, const steady_time now) {
    const auto age = now - candidate.announced_at;
    if (candidate.warm || age >= options_.slow_start) {
        return true;
    }
    const std::chrono::duration<double> ramp = options_.slow_start;
    return std::bernoulli_distribution{std::clamp(age / ramp, min_slow_start_ratio, 1.0)}(random_);
}

const upstream_candidate* upstream_selector::sample(const std::span<const upstream_candidate> group,
                                                    const selection_criteria& criteria,
                                                    const upstream_candidate* other) {
    if (group.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<size_type> draw{0, group.size() - 1};
    for (size_type i = 0; i < max_random_draws; ++i) {
        const auto& candidate = group[draw(random_)];
        if (&candidate != other && is_eligible(candidate, criteria) && passes_slow_start(candidate, criteria.now)) {
            return &candidate;
        }
    }
    const auto offset = draw(random_);
    for (size_type i = 0; i < std::min(group.size(), max_linear_probes); ++i) {
        const auto& candidate = group[(offset + i) % group.size()];
        if (&candidate != other && is_eligible(candidate, criteria)) {
            return &candidate;
        }
    }
    return nullptr;
}

upstream_selector::choice upstream_selector::best_of_two(const std::span<const upstream_candidate> group,
                                                         const selection_criteria& criteria) {
    const auto* first = sample(group, criteria, nullptr);
    if (first == nullptr) {
        return {};
    }
    const choice first_choice{.candidate = first, .score = score(*first, criteria)};
    const auto* second = group.size() > 1 ? sample(group, criteria, first) : nullptr;
    if (second == nullptr) {
        return first_choice;
    }
    const choice second_choice{.candidate = second, .score = score(*second, criteria)};
    return second_choice.score < first_choice.score ? second_choice : first_choice;
}

const upstream_candidate* upstream_selector::choose(const std::span<const upstream_candidate> candidates,
                                                    const selection_criteria& criteria) {
    const auto first_remote = std::ranges::partition_point(candidates, &upstream_candidate::local);
    const auto local_count = static_cast<size_type>(first_remote - candidates.begin());
    const auto local_choice = best_of_two(candidates.first(local_count), criteria);
    if (local_choice.candidate != nullptr && local_choice.score <= spillover_score) {
        return local_choice.candidate;
    }
    const auto remote_choice = best_of_two(candidates.subspan(local_count), criteria);
    if (remote_choice.candidate == nullptr) {
        return local_choice.candidate;
    }
    return local_choice.candidate != nullptr && local_choice.score <= remote_choice.score + criteria.remote_penalty
               ? local_choice.candidate
               : remote_choice.candidate;
}

std::optional<node_id> upstream_selector::select(const std::span<const upstream_candidate> candidates,
                                                 const std::vector<node_id>& tried, const steady_time now,
                                                 const std::uint32_t in_flight_limit, const double remote_penalty) {
    candidate_count_ = candidates.size();
    std::uniform_int_distribution<unsigned> draw{0, report_ignore_interval - 1};
    selection_criteria criteria{.tried = tried,
                                .now = now,
                                .in_flight_limit = in_flight_limit,
                                .remote_penalty = remote_penalty,
                                .use_reports = draw(random_) != 0};
    const auto* chosen = choose(candidates, criteria);
    if (chosen == nullptr && in_flight_limit != 0) {
        // The limit is only a preference here; the upstream's node enforces it.
        criteria.in_flight_limit = 0;
        chosen = choose(candidates, criteria);
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    return chosen->node;
}

void upstream_selector::on_started(const node_id node) {
    ++nodes_[node.value()].in_flight;
    ++total_in_flight_;
}

void upstream_selector::on_finished(const node_id node, const selection_outcome outcome, const steady_time now) {
    if (const auto found = nodes_.find(node.value()); found != nodes_.end() && found->second.in_flight > 0) {
        --found->second.in_flight;
        --total_in_flight_;
    }
    if (outcome == selection_outcome::success) {
        outliers_.on_success(node);
    } else if (outcome == selection_outcome::failure) {
        outliers_.on_failure(node, candidate_count_, now);
    }
    if (nodes_.size() > 2 * candidate_count_ + max_idle_records) {
        remove_idle(now);
    }
}

void upstream_selector::on_load(const node_id node, const std::uint32_t load, const steady_time now) {
    if (const auto found = nodes_.find(node.value()); found != nodes_.end()) {
        found->second.reported_load = load;
        found->second.in_flight_at_report = found->second.in_flight;
        found->second.reported_at = now;
    }
}

std::uint32_t upstream_selector::in_flight(const node_id node) const {
    const auto found = nodes_.find(node.value());
    return found == nodes_.end() ? 0 : found->second.in_flight;
}

void upstream_selector::remove_idle(const steady_time now) {
    std::erase_if(nodes_, [this, now](const auto& item) {
        return item.second.in_flight == 0 && now - item.second.reported_at >= options_.max_report_age;
    });
}

} // namespace goldcrestwell
