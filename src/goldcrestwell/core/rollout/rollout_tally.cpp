#include "goldcrestwell/core/rollout/rollout_tally.hpp"

#include "goldcrestwell/core/message/latency_histogram.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <numeric>

namespace goldcrestwell {

namespace {

std::uint32_t total(const latency_histogram& histogram) {
    return std::accumulate(histogram.begin(), histogram.end(), std::uint32_t{});
}

std::chrono::microseconds median(const latency_histogram& histogram) {
    const auto half = total(histogram) / 2;
    std::uint32_t seen = 0;
    for (std::size_t bucket = 0; bucket < histogram.size(); ++bucket) {
        seen += histogram[bucket];
        if (seen > half) {
            return latency_bucket_limit(bucket);
        }
    }
    return latency_bucket_limit(histogram.size() - 1);
}

double rate(const std::uint32_t failures, const std::uint32_t calls) {
    return calls == 0 ? 0.0 : static_cast<double>(failures) / calls;
}

} // namespace

void rollout_tally::outcome_sum::add(const evidence_window& window) {
    calls += window.calls;
    failures += window.failures;
    std::ranges::transform(latencies, window.latencies, latencies.begin(), std::plus{});
}

void rollout_tally::add(const evidence_window& window, const bool candidate) {
    auto& route = routes_[window.row.route];
    (candidate ? route.candidate : route.old).add(window);
    (candidate ? candidate_ : old_).add(window);
}

// Calls of the old version fail too while other services are short of room, so only the difference counts.
bool rollout_tally::fails(const outcome_sum& candidate, const outcome_sum& old) const {
    if (candidate.failures < limits_.least_failures) {
        return false;
    }
    const auto difference = rate(candidate.failures, candidate.calls) - rate(old.failures, old.calls);
    const auto pooled = rate(candidate.failures + old.failures, candidate.calls + old.calls);
    const auto variance = pooled * (1.0 - pooled) * (1.0 / candidate.calls + 1.0 / std::max(old.calls, 1U));
    return difference > limits_.failure_excess && difference >= limits_.standard_errors * std::sqrt(variance);
}

bool rollout_tally::slow(const route_sums& sums) const {
    if (total(sums.candidate.latencies) < limits_.least_latencies ||
        total(sums.old.latencies) < limits_.least_latencies) {
        return false;
    }
    const std::chrono::duration<double, std::micro> bound = median(sums.old.latencies);
    return median(sums.candidate.latencies) > bound * limits_.slow_factor;
}

std::optional<take_back_reason> rollout_tally::fault() const {
    const auto route_fails = std::ranges::any_of(
        routes_, [this](const auto& item) { return fails(item.second.candidate, item.second.old); });
    if (route_fails || fails(candidate_, old_)) {
        return take_back_reason::failures;
    }
    if (std::ranges::any_of(routes_, [this](const auto& item) { return slow(item.second); })) {
        return take_back_reason::latency;
    }
    return std::nullopt;
}

} // namespace goldcrestwell
