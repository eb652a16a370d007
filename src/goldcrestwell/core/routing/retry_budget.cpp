#include "goldcrestwell/core/routing/retry_budget.hpp"

#include <algorithm>
#include <chrono>

namespace goldcrestwell {

void retry_budget::refill(const time_sample now) {
    if (last_refill_ && now.steady > *last_refill_) {
        const std::chrono::duration<double> elapsed = now.steady - *last_refill_;
        tokens_ = std::min(options_.max_tokens, tokens_ + elapsed.count() * options_.retries_per_second);
    }
    last_refill_ = last_refill_ ? std::max(*last_refill_, now.steady) : now.steady;
}

void retry_budget::on_call(const time_sample now) {
    refill(now);
    tokens_ = std::min(options_.max_tokens, tokens_ + options_.retries_per_call);
}

bool retry_budget::try_spend(const time_sample now) {
    refill(now);
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace goldcrestwell
