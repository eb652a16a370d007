#include "goldcrestwell/core/rollout/mixture_test.hpp"

#include <array>
#include <cmath>

namespace goldcrestwell {

namespace {

// Hit rate of the candidate relative to the baseline, from the smallest relevant ratio to a candidate that always
// fails.
constexpr std::array<double, 7> rate_ratios{1.5, 2.0, 4.0, 10.0, 30.0, 100.0, 1000.0};
// A likelihood ratio of 5 is unlikely by chance but too low for a rollback, so the stage is not raised.
constexpr double suspicious_ratio = 5.0;

double log_likelihood_ratio(const std::span<const stratum> strata, const double rate_ratio) {
    double sum = 0.0;
    for (const auto& entry : strata) {
        const auto calls = entry.candidate_calls + entry.baseline_calls;
        if (entry.candidate_calls == 0 || entry.baseline_calls == 0) {
            continue;
        }
        const auto candidate_fraction = static_cast<double>(entry.candidate_calls) / static_cast<double>(calls);
        const auto hits = static_cast<double>(entry.candidate_hits + entry.baseline_hits);
        sum += static_cast<double>(entry.candidate_hits) * std::log(rate_ratio);
        sum -= hits * std::log1p((rate_ratio - 1.0) * candidate_fraction);
    }
    return sum;
}

} // namespace

sequential_test make_mixture_test(const double alpha) {
    return [alpha](const std::span<const stratum> strata) {
        double mixture = 0.0;
        for (const auto rate_ratio : rate_ratios) {
            mixture += std::exp(log_likelihood_ratio(strata, rate_ratio)) / static_cast<double>(rate_ratios.size());
        }
        if (mixture >= 1.0 / alpha) {
            return verdict::roll_back;
        }
        return mixture >= suspicious_ratio ? verdict::wait : verdict::advance;
    };
}

} // namespace goldcrestwell
