#include "goldcrestwell/core/rollout/spending_test.hpp"

#include <cmath>
#include <cstdint>

namespace goldcrestwell {

namespace {

constexpr std::uint64_t first_look_calls = 20;
// Below this the normal approximation takes single hits for proof.
constexpr std::uint64_t minimum_hits = 4;
constexpr double suspicious_level = 0.05;

struct score {
    std::uint64_t calls{};
    std::uint64_t hits{};
    double excess{};
    double variance{};
};

void add(score& sum, const stratum& part) {
    const auto candidate = static_cast<double>(part.candidate_calls);
    const auto calls = candidate + static_cast<double>(part.baseline_calls);
    const auto hits = static_cast<double>(part.candidate_hits + part.baseline_hits);
    if (part.candidate_calls == 0 || part.baseline_calls == 0) {
        return;
    }
    const auto fraction = candidate / calls;
    sum.calls += part.candidate_calls;
    sum.hits += part.candidate_hits;
    sum.excess += static_cast<double>(part.candidate_hits) - hits * fraction;
    sum.variance += hits * fraction * (1.0 - fraction) * (calls - hits) / (calls - 1.0);
}

// One-sided p-value with the continuity correction.
double p_value(const score& sum) {
    if (sum.variance <= 0.0 || sum.hits < minimum_hits) {
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
        auto result = verdict::go_on;
        for (const auto& part : strata) {
            add(sum, part);
            if (sum.calls < next_look) {
                continue;
            }
            const auto p = p_value(sum);
            if (p <= level) {
                return verdict::take_back;
            }
            result = p <= suspicious_level ? verdict::wait : verdict::go_on;
            while (next_look <= sum.calls) {
                next_look *= 2;
                level /= 2.0;
            }
        }
        return result;
    };
}

} // namespace goldcrestwell
