#include "goldcrestwell/core/membership/byte_budget.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace goldcrestwell {

namespace {

/** Two seconds of the rate suffice for a push of an urgent update to three nodes and a chunk of a reply at once. */
constexpr std::chrono::duration<double> bucket_duration{2.0};

/**
 * Fraction of the bucket that each priority leaves to higher ones. Failure detection needs about 300 bytes per second,
 * so the tenth of the bucket that is reserved for it lasts for more than four seconds of probes.
 */
constexpr std::array<double, control_priority_count> floor_ratios{0.0, 0.1, 0.15, 0.2, 0.25, 0.4, 0.5};

} // namespace

byte_budget::byte_budget(const size_type bytes_per_second, membership_counters& counts) noexcept
    : bytes_per_second_{static_cast<double>(bytes_per_second)},
      available_bytes_{bytes_per_second_ * bucket_duration.count()}, counts_{&counts} {}

bool byte_budget::spend(const size_type bytes, const control_priority priority, const steady_time now) {
    refill(now);
    const auto cost = static_cast<double>(bytes);
    if (available_bytes_ - cost < floor_bytes(priority)) {
        counts_->withheld.add(priority);
        return false;
    }
    available_bytes_ -= cost;
    counts_->bytes.add(priority, bytes);
    return true;
}

byte_budget::size_type byte_budget::available(const control_priority priority, const steady_time now) {
    refill(now);
    return static_cast<size_type>(std::max(0.0, available_bytes_ - floor_bytes(priority)));
}

steady_time byte_budget::ready_at(const size_type bytes, const control_priority priority, const steady_time now) {
    refill(now);
    const auto missing_bytes = static_cast<double>(bytes) + floor_bytes(priority) - available_bytes_;
    if (missing_bytes <= 0.0) {
        return now;
    }
    return now + std::chrono::microseconds{static_cast<std::chrono::microseconds::rep>(
                     std::ceil(missing_bytes / bytes_per_second_ * static_cast<double>(std::micro::den)))};
}

void byte_budget::refill(const steady_time now) noexcept {
    if (has_refilled_ && now > last_refill_) {
        const std::chrono::duration<double> elapsed = now - last_refill_;
        available_bytes_ = std::min(bytes_per_second_ * bucket_duration.count(),
                                    available_bytes_ + elapsed.count() * bytes_per_second_);
    }
    if (!has_refilled_ || now > last_refill_) {
        last_refill_ = now;
        has_refilled_ = true;
    }
}

double byte_budget::floor_bytes(const control_priority priority) const noexcept {
    return bytes_per_second_ * bucket_duration.count() * floor_ratios[static_cast<std::size_t>(priority)];
}

} // namespace goldcrestwell
