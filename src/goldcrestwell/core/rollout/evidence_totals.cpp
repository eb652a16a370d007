#include "goldcrestwell/core/rollout/evidence_totals.hpp"

#include <numeric>

namespace goldcrestwell {

namespace {

constexpr std::uint64_t calls_per_slow_call = 20; // one call in 20 is above the 95th percentile

} // namespace

void evidence_totals::add(const evidence_window& window) noexcept {
    calls += window.calls;
    failures += window.failures;
    for (std::size_t bucket = 0; bucket < latencies.size(); ++bucket) {
        latencies[bucket] += window.latencies[bucket];
    }
}

void evidence_totals::add(const evidence_totals& other) noexcept {
    calls += other.calls;
    failures += other.failures;
    for (std::size_t bucket = 0; bucket < latencies.size(); ++bucket) {
        latencies[bucket] += other.latencies[bucket];
    }
}

std::uint64_t evidence_totals::measured_calls() const noexcept {
    return std::accumulate(latencies.begin(), latencies.end(), std::uint64_t{});
}

std::uint64_t evidence_totals::slower_than(const std::size_t bucket) const noexcept {
    std::uint64_t slow_calls = 0;
    for (std::size_t above = bucket + 1; above < latencies.size(); ++above) {
        slow_calls += latencies[above];
    }
    return slow_calls;
}

std::size_t evidence_totals::slow_bucket() const noexcept {
    const auto max_slow_calls = measured_calls() / calls_per_slow_call;
    std::uint64_t slow_calls = 0;
    auto bucket = latencies.size() - 1;
    while (bucket > 0 && slow_calls + latencies[bucket] <= max_slow_calls) {
        slow_calls += latencies[bucket];
        --bucket;
    }
    return bucket;
}

} // namespace goldcrestwell
