#include "goldcrestwell/core/routing/retry_budget.hpp"

#include <algorithm>
#include <chrono>

namespace goldcrestwell {

void retry_budget::refill(const time_sample now) {
    if (refilled_ && now.steady > *refilled_) {
        const std::chrono::duration<double> passed = now.steady - *refilled_;
        tokens_ = std::min(options_.saved, tokens_ + passed.count() * options_.per_second);
    }
    refilled_ = refilled_ ? std::max(*refilled_, now.steady) : now.steady;
}

void retry_budget::on_call(const time_sample now) {
    refill(now);
    tokens_ = std::min(options_.saved, tokens_ + options_.per_call);
}

bool retry_budget::spend(const time_sample now) {
    refill(now);
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace goldcrestwell
