#include "goldcrestwell/core/routing/upstream_selector.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

// With at most half of a group ejected, eight draws miss all admitted nodes less than once in 250 calls.
constexpr std::size_t random_draws = 8;
// Bounds the search when the draws fail; small groups are searched completely.
constexpr std::size_t most_probes = 64;
constexpr std::uint32_t default_slots = 10;
// Below a tenth a service with few calls would never warm up a new upstream.
constexpr double smallest_start = 0.1;
// Calls to the own data centre go elsewhere when its upstreams have no free slot.
constexpr double spill_over_score = 1.0;
// One choice in four ignores reports, so that a node with a false report keeps getting calls, and a node that always
// reports no load can attract only part of them.
constexpr unsigned reports_ignored_in = 4;
// A report above this many times the slots says no more than that the node is busy.
constexpr std::uint32_t reported_slots_limit = 4;
constexpr std::size_t idle_records = 64;

std::uint32_t slots_of(const upstream_candidate& candidate) {
    return candidate.slots == 0 ? default_slots : candidate.slots;
}

} // namespace

upstream_selector::upstream_selector(upstream_selector_options options)
    : outliers_{options.outliers}, options_{options}, random_{options.seed} {}

bool upstream_selector::allowed(const upstream_candidate& candidate, const query& wanted) const {
    if (std::ranges::find(wanted.tried, candidate.node) != wanted.tried.end()) {
        return false;
    }
    const auto calls = in_flight(candidate.node);
    if (wanted.limit != 0 && calls >= wanted.limit) {
        return false;
    }
    return outliers_.admits(candidate.node, calls, wanted.now);
}

double upstream_selector::score(const upstream_candidate& candidate, const query& wanted) const {
    const auto slots = slots_of(candidate);
    double load = 1.0;
    if (const auto found = nodes_.find(candidate.node.value()); found != nodes_.end()) {
        const auto& state = found->second;
        load += state.in_flight;
        if (wanted.use_reports && wanted.now - state.reported_at < options_.report_lifetime) {
            // What is in flight from here was part of the report.
            const auto others = state.reported - std::min(state.reported, state.counted);
            load += std::min(others, slots * reported_slots_limit);
        }
    }
    return load / slots;
}

bool upstream_selector::warm_enough(const upstream_candidate& candidate, const steady_time now) {
    const auto age = now - candidate.since;
    if (candidate.warm || age >= options_.slow_start) {
        return true;
    }
    const std::chrono::duration<double> ramp = options_.slow_start;
    return std::bernoulli_distribution{std::clamp(age / ramp, smallest_start, 1.0)}(random_);
}

const upstream_candidate* upstream_selector::sample(const std::span<const upstream_candidate> group,
                                                    const query& wanted, const upstream_candidate* other) {
    if (group.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<size_type> draw{0, group.size() - 1};
    for (size_type i = 0; i < random_draws; ++i) {
        const auto& candidate = group[draw(random_)];
        if (&candidate != other && allowed(candidate, wanted) && warm_enough(candidate, wanted.now)) {
            return &candidate;
        }
    }
    const auto from = draw(random_);
    for (size_type i = 0; i < std::min(group.size(), most_probes); ++i) {
        const auto& candidate = group[(from + i) % group.size()];
        if (&candidate != other && allowed(candidate, wanted)) {
            return &candidate;
        }
    }
    return nullptr;
}

upstream_selector::choice upstream_selector::best_of_two(const std::span<const upstream_candidate> group,
                                                         const query& wanted) {
    const auto* first = sample(group, wanted, nullptr);
    if (first == nullptr) {
        return {};
    }
    const choice one{.candidate = first, .score = score(*first, wanted)};
    const auto* second = group.size() > 1 ? sample(group, wanted, first) : nullptr;
    if (second == nullptr) {
        return one;
    }
    const choice two{.candidate = second, .score = score(*second, wanted)};
    return two.score < one.score ? two : one;
}

const upstream_candidate* upstream_selector::choose(const std::span<const upstream_candidate> candidates,
                                                    const query& wanted) {
    const auto border = std::ranges::partition_point(candidates, &upstream_candidate::local);
    const auto locals = static_cast<size_type>(border - candidates.begin());
    const auto near = best_of_two(candidates.first(locals), wanted);
    if (near.candidate != nullptr && near.score <= spill_over_score) {
        return near.candidate;
    }
    const auto far = best_of_two(candidates.subspan(locals), wanted);
    if (far.candidate == nullptr) {
        return near.candidate;
    }
    return near.candidate != nullptr && near.score <= far.score + wanted.far_penalty ? near.candidate : far.candidate;
}

std::optional<node_id> upstream_selector::select(const std::span<const upstream_candidate> candidates,
                                                 const std::vector<node_id>& tried, const steady_time now,
                                                 const std::uint32_t limit, const double far_penalty) {
    group_ = candidates.size();
    std::uniform_int_distribution<unsigned> draw{0, reports_ignored_in - 1};
    query wanted{
        .tried = tried, .now = now, .limit = limit, .far_penalty = far_penalty, .use_reports = draw(random_) != 0};
    const auto* chosen = choose(candidates, wanted);
    if (chosen == nullptr && limit != 0) {
        // The limit is a hint here: the node beside the upstream enforces it.
        wanted.limit = 0;
        chosen = choose(candidates, wanted);
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
        outliers_.on_failure(node, group_, now);
    }
    if (nodes_.size() > 2 * group_ + idle_records) {
        forget_idle(now);
    }
}

void upstream_selector::on_load(const node_id node, const std::uint32_t load, const steady_time now) {
    if (const auto found = nodes_.find(node.value()); found != nodes_.end()) {
        found->second.reported = load;
        found->second.counted = found->second.in_flight;
        found->second.reported_at = now;
    }
}

std::uint32_t upstream_selector::in_flight(const node_id node) const {
    const auto found = nodes_.find(node.value());
    return found == nodes_.end() ? 0 : found->second.in_flight;
}

void upstream_selector::forget_idle(const steady_time now) {
    std::erase_if(nodes_, [this, now](const auto& item) {
        return item.second.in_flight == 0 && now - item.second.reported_at >= options_.report_lifetime;
    });
}

} // namespace goldcrestwell
