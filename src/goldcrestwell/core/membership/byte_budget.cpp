#include "goldcrestwell/core/membership/byte_budget.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace goldcrestwell {

namespace {

/** Two seconds of the rate pay for a push of an urgent update to three nodes and for a chunk of a reply at once. */
constexpr std::chrono::duration<double> bucket_time{2.0};

/**
 * Fraction of the bucket that each priority leaves to higher ones. Failure detection needs about 300 bytes per second,
 * so the tenth of the bucket that is reserved for it lasts for more than four seconds of probes.
 */
constexpr std::array<double, control_priority_count> floors{0.0, 0.1, 0.15, 0.2, 0.25, 0.4, 0.5};

} // namespace

byte_budget::byte_budget(const size_type bytes_per_second, membership_counters& counts) noexcept
    : rate_{static_cast<double>(bytes_per_second)}, level_{rate_ * bucket_time.count()}, counts_{&counts} {}

bool byte_budget::spend(const size_type bytes, const control_priority priority, const steady_time now) {
    refill(now);
    const auto cost = static_cast<double>(bytes);
    if (level_ - cost < floor_of(priority)) {
        counts_->withheld.add(priority);
        return false;
    }
    level_ -= cost;
    counts_->bytes.add(priority, bytes);
    return true;
}

byte_budget::size_type byte_budget::available(const control_priority priority, const steady_time now) {
    refill(now);
    return static_cast<size_type>(std::max(0.0, level_ - floor_of(priority)));
}

steady_time byte_budget::ready_at(const size_type bytes, const control_priority priority, const steady_time now) {
    refill(now);
    const auto missing = static_cast<double>(bytes) + floor_of(priority) - level_;
    if (missing <= 0.0) {
        return now;
    }
    return now + std::chrono::microseconds{static_cast<std::chrono::microseconds::rep>(
                     std::ceil(missing / rate_ * static_cast<double>(std::micro::den)))};
}

void byte_budget::refill(const steady_time now) noexcept {
    if (started_ && now > refilled_) {
        const std::chrono::duration<double> passed = now - refilled_;
        level_ = std::min(rate_ * bucket_time.count(), level_ + passed.count() * rate_);
    }
    if (!started_ || now > refilled_) {
        refilled_ = now;
        started_ = true;
    }
}

double byte_budget::floor_of(const control_priority priority) const noexcept {
    return rate_ * bucket_time.count() * floors[static_cast<std::size_t>(priority)];
}

} // namespace goldcrestwell
