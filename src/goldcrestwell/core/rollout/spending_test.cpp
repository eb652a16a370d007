#include "goldcrestwell/core/rollout/spending_test.hpp"

#include <cmath>
#include <cstdint>

namespace goldcrestwell {

namespace {

constexpr std::uint64_t first_look_calls = 20;
// With fewer hits the normal approximation would treat single hits as significant.
constexpr std::uint64_t min_hits = 4;
constexpr double suspicious_level = 0.05;

struct score {
    std::uint64_t calls{};
    std::uint64_t hits{};
    double excess{};
    double variance{};
};

void add(score& sum, const stratum& entry) {
    const auto candidate = static_cast<double>(entry.candidate_calls);
    const auto calls = candidate + static_cast<double>(entry.baseline_calls);
    const auto hits = static_cast<double>(entry.candidate_hits + entry.baseline_hits);
    if (entry.candidate_calls == 0 || entry.baseline_calls == 0) {
        return;
    }
    const auto candidate_fraction = candidate / calls;
    sum.calls += entry.candidate_calls;
    sum.hits += entry.candidate_hits;
    sum.excess += static_cast<double>(entry.candidate_hits) - hits * candidate_fraction;
    sum.variance += hits * candidate_fraction * (1.0 - candidate_fraction) * (calls - hits) / (calls - 1.0);
}

// One-sided p-value with continuity correction.
double p_value(const score& sum) {
    if (sum.variance <= 0.0 || sum.hits < min_hits) {
        return 1.0;
    }
    const auto z = (sum.excess - 0.5) / std::sqrt(sum.variance);
    return 0.5 * std::erfc(z / std::sqrt(2.0));
}

} // namespace

sequential_test make_spending_test(const double alpha) {
    return [alpha](const std::span<const stratum> strata) {
        score sum;
        auto next_look = first_look_calls;
        auto level = alpha / 2.0;
        auto result = verdict::advance;
        for (const auto& entry : strata) {
            add(sum, entry);
            if (sum.calls < next_look) {
                continue;
            }
            const auto p = p_value(sum);
            if (p <= level) {
                return verdict::roll_back;
            }
            result = p <= suspicious_level ? verdict::wait : verdict::advance;
            while (next_look <= sum.calls) {
                next_look *= 2;
                level /= 2.0;
            }
        }
        return result;
    };
}

} // namespace goldcrestwell
