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

void rollout_tally::add(const node_id from, const evidence_window& window, const bool candidate) {
    if (candidate) {
        candidates_[from][window.row.route].add(window);
        candidate_calls_ += window.calls;
    } else {
        old_routes_[window.row.route].add(window);
        old_.add(window);
    }
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

bool rollout_tally::slow(const outcome_sum& candidate, const outcome_sum& old) const {
    if (total(candidate.latencies) < limits_.least_latencies || total(old.latencies) < limits_.least_latencies) {
        return false;
    }
    const std::chrono::duration<double, std::micro> bound = median(old.latencies);
    return median(candidate.latencies) > bound * limits_.slow_factor;
}

std::optional<rollback_reason> rollout_tally::fault_of(const route_sums& sums) const {
    outcome_sum all;
    std::optional<rollback_reason> reason;
    for (const auto& [route, sum] : sums) {
        all.calls += sum.calls;
        all.failures += sum.failures;
        const auto known = old_routes_.find(route);
        const auto old = known == old_routes_.end() ? outcome_sum{} : known->second;
        if (fails(sum, old)) {
            return rollback_reason::failures;
        }
        if (slow(sum, old)) {
            reason = rollback_reason::latency;
        }
    }
    return fails(all, old_) ? rollback_reason::failures : reason;
}

std::optional<rollback_reason> rollout_tally::fault(const size_type upstreams) const {
    constexpr size_type confirming_upstreams = 2;
    size_type faulty = 0;
    std::optional<rollback_reason> reason;
    for (const auto& [node, sums] : candidates_) {
        if (const auto found = fault_of(sums)) {
            ++faulty;
            reason = found;
        }
    }
    return faulty >= std::clamp<size_type>(upstreams, 1, confirming_upstreams) ? reason : std::nullopt;
}

} // namespace goldcrestwell
