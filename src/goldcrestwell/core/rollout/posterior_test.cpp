#include "goldcrestwell/core/rollout/posterior_test.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace goldcrestwell {

namespace {

constexpr std::size_t grid_points = 160;
constexpr double grid_limit = 10.0; // log-odds from -10 to 10: rates from 0.005 % to 99.995 %
// Prior of one hit in 50 calls, as hits are rare in both versions.
constexpr double prior_hits = 1.0;
constexpr double prior_misses = 49.0;
// Smallest relevant ratio of the hit rates: the candidate's rate is 1.5 times the baseline's.
constexpr double relevant_ratio = 1.5;
constexpr double suspicious_probability = 0.9;

using grid = std::array<double, grid_points>;

grid make_rates() {
    grid rates{};
    for (std::size_t point = 0; point < grid_points; ++point) {
        const auto log_odds = grid_limit * (2.0 * static_cast<double>(point) / (grid_points - 1) - 1.0);
        rates[point] = 1.0 / (1.0 + std::exp(-log_odds));
    }
    return rates;
}

const grid& rates() {
    static const grid values = make_rates();
    return values;
}

grid posterior(const std::uint64_t calls, const std::uint64_t hits) {
    const auto hit_weight = static_cast<double>(hits) + prior_hits;
    const auto miss_weight = static_cast<double>(calls - hits) + prior_misses;
    grid weights{};
    for (std::size_t point = 0; point < grid_points; ++point) {
        const auto rate = rates()[point];
        weights[point] = hit_weight * std::log(rate) + miss_weight * std::log1p(-rate);
    }
    const auto highest = *std::max_element(weights.begin(), weights.end());
    double sum = 0.0;
    for (auto& weight : weights) {
        weight = std::exp(weight - highest);
        sum += weight;
    }
    for (auto& weight : weights) {
        weight /= sum;
    }
    return weights;
}

double probability_worse(const stratum& sum) {
    const auto candidate = posterior(sum.candidate_calls, sum.candidate_hits);
    const auto baseline = posterior(sum.baseline_calls, sum.baseline_hits);
    double probability = 0.0;
    double above = 0.0;
    auto high = grid_points;
    for (auto low = grid_points; low-- > 0;) {
        while (high > 0 && rates()[high - 1] > relevant_ratio * rates()[low]) {
            above += candidate[--high];
        }
        probability += baseline[low] * above;
    }
    return probability;
}

} // namespace

sequential_test make_posterior_test(const double certainty) {
    return [certainty](const std::span<const stratum> strata) {
        stratum sum;
        for (const auto& entry : strata) {
            sum.candidate_calls += entry.candidate_calls;
            sum.candidate_hits += entry.candidate_hits;
            sum.baseline_calls += entry.baseline_calls;
            sum.baseline_hits += entry.baseline_hits;
        }
        if (sum.candidate_calls == 0 || sum.baseline_calls == 0) {
            return verdict::advance;
        }
        const auto probability = probability_worse(sum);
        if (probability >= certainty) {
            return verdict::roll_back;
        }
        return probability >= suspicious_probability ? verdict::wait : verdict::advance;
    };
}

} // namespace goldcrestwell
