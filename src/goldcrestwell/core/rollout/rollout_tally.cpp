#include "goldcrestwell/core/rollout/rollout_tally.hpp"

#include "goldcrestwell/core/message/latency_histogram.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <numeric>

namespace goldcrestwell {

namespace {

std::uint32_t sample_count(const latency_histogram& histogram) {
    return std::accumulate(histogram.begin(), histogram.end(), std::uint32_t{});
}

std::chrono::microseconds median(const latency_histogram& histogram) {
    const auto half = sample_count(histogram) / 2;
    std::uint32_t seen = 0;
    for (std::size_t bucket = 0; bucket < histogram.size(); ++bucket) {
        seen += histogram[bucket];
        if (seen > half) {
            return latency_bucket_limit(bucket);
        }
    }
    return latency_bucket_limit(histogram.size() - 1);
}

double failure_rate(const std::uint32_t failures, const std::uint32_t calls) {
    return calls == 0 ? 0.0 : static_cast<double>(failures) / calls;
}

} // namespace

void rollout_tally::outcome_sum::add(const evidence_window& window) {
    calls += window.calls;
    failures += window.failures;
    std::ranges::transform(latencies, window.latencies, latencies.begin(), std::plus{});
}

void rollout_tally::add(const node_id upstream_node, const evidence_window& window, const bool candidate) {
    if (candidate) {
        candidates_[upstream_node][window.row.route].add(window);
        candidate_calls_ += window.calls;
    } else {
        baseline_routes_[window.row.route].add(window);
        baseline_.add(window);
    }
}

// Calls of the baseline also fail while other services are overloaded, so only the difference of the rates counts.
bool rollout_tally::fails_more_often(const outcome_sum& candidate, const outcome_sum& baseline) const {
    if (candidate.failures < limits_.min_failures) {
        return false;
    }
    const auto difference =
        failure_rate(candidate.failures, candidate.calls) - failure_rate(baseline.failures, baseline.calls);
    const auto pooled = failure_rate(candidate.failures + baseline.failures, candidate.calls + baseline.calls);
    const auto variance = pooled * (1.0 - pooled) * (1.0 / candidate.calls + 1.0 / std::max(baseline.calls, 1U));
    return difference > limits_.min_rate_difference && difference >= limits_.min_standard_errors * std::sqrt(variance);
}

bool rollout_tally::is_slower(const outcome_sum& candidate, const outcome_sum& baseline) const {
    if (sample_count(candidate.latencies) < limits_.min_latency_samples ||
        sample_count(baseline.latencies) < limits_.min_latency_samples) {
        return false;
    }
    const std::chrono::duration<double, std::micro> bound = median(baseline.latencies);
    return median(candidate.latencies) > bound * limits_.max_latency_ratio;
}

std::optional<rollback_reason> rollout_tally::find_upstream_fault(const route_sums& sums) const {
    outcome_sum all;
    std::optional<rollback_reason> reason;
    for (const auto& [route, sum] : sums) {
        all.calls += sum.calls;
        all.failures += sum.failures;
        const auto entry = baseline_routes_.find(route);
        const auto baseline = entry == baseline_routes_.end() ? outcome_sum{} : entry->second;
        if (fails_more_often(sum, baseline)) {
            return rollback_reason::failures;
        }
        if (is_slower(sum, baseline)) {
            reason = rollback_reason::latency;
        }
    }
    return fails_more_often(all, baseline_) ? rollback_reason::failures : reason;
}

std::optional<rollback_reason> rollout_tally::find_fault(const size_type upstreams) const {
    constexpr size_type min_faulty_upstreams = 2;
    size_type faulty = 0;
    std::optional<rollback_reason> reason;
    for (const auto& [node, sums] : candidates_) {
        if (const auto found = find_upstream_fault(sums)) {
            ++faulty;
            reason = found;
        }
    }
    return faulty >= std::clamp<size_type>(upstreams, 1, min_faulty_upstreams) ? reason : std::nullopt;
}

} // namespace goldcrestwell
