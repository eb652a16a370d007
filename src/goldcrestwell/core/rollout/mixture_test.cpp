#include "goldcrestwell/core/rollout/mixture_test.hpp"

#include <array>
#include <cmath>

namespace goldcrestwell {

namespace {

// Rates of the candidate relative to the old version's, from the smallest that matters to one that only ever fails.
constexpr std::array<double, 7> rate_ratios{1.5, 2.0, 4.0, 10.0, 30.0, 100.0, 1000.0};
// A likelihood ratio of 5 is more than chance but far from a decision, so the stage is not raised.
constexpr double suspicious_ratio = 5.0;

double log_likelihood_ratio(const std::span<const stratum> strata, const double rate) {
    double sum = 0.0;
    for (const auto& part : strata) {
        const auto calls = part.candidate_calls + part.baseline_calls;
        if (part.candidate_calls == 0 || part.baseline_calls == 0) {
            continue;
        }
        const auto fraction = static_cast<double>(part.candidate_calls) / static_cast<double>(calls);
        const auto hits = static_cast<double>(part.candidate_hits + part.baseline_hits);
        sum += static_cast<double>(part.candidate_hits) * std::log(rate);
        sum -= hits * std::log1p((rate - 1.0) * fraction);
    }
    return sum;
}

} // namespace

sequential_test make_mixture_test(const double alpha) {
    return [alpha](const std::span<const stratum> strata) {
        double mixture = 0.0;
        for (const auto rate : rate_ratios) {
            mixture += std::exp(log_likelihood_ratio(strata, rate)) / static_cast<double>(rate_ratios.size());
        }
        if (mixture >= 1.0 / alpha) {
            return verdict::take_back;
        }
        return mixture >= suspicious_ratio ? verdict::wait : verdict::go_on;
    };
}

} // namespace goldcrestwell
