#include "goldcrestwell/core/config/read_schedule.hpp"

#include <algorithm>

namespace goldcrestwell::internal {

namespace {

// The second read is for a node that has to read further records after it restored a checkpoint.
constexpr int read_burst = 2;

} // namespace

read_schedule::read_schedule(const read_intervals& intervals)
    : intervals_{intervals}, read_budget_{intervals.direct_read, read_burst}, retry_delay_{intervals.min_retry_delay} {}

void read_schedule::request_read_by(const steady_time time) noexcept {
    requested_read_at_ = std::min(requested_read_at_.value_or(time), time);
}

std::optional<steady_time> read_schedule::next() const noexcept {
    if (reading_) {
        return std::nullopt;
    }
    if (relay_ || continuing_) {
        return earliest_read_at_;
    }
    if (requested_read_at_) {
        return std::max({*requested_read_at_, earliest_read_at_, read_budget_.available_at()});
    }
    return std::nullopt;
}

void read_schedule::started(const steady_time now) noexcept {
    if (!relay_ && !continuing_) {
        static_cast<void>(read_budget_.take(now));
    }
    reading_ = true;
    requested_read_at_.reset();
}

void read_schedule::succeeded(const steady_time now, const bool progress, const bool more) noexcept {
    reading_ = false;
    failing_ = false;
    at_head_ = !more;
    continuing_ = progress && more;
    retry_delay_ = intervals_.min_retry_delay;
    // A log that responds immediately without new records must not be read in a tight loop.
    earliest_read_at_ = progress ? now : now + intervals_.min_retry_delay;
}

void read_schedule::failed(const steady_time now, const std::chrono::milliseconds jitter) noexcept {
    reading_ = false;
    failing_ = true;
    continuing_ = false;
    earliest_read_at_ = now + retry_delay_ + jitter;
    retry_delay_ = std::min(retry_delay_ * 2, intervals_.max_retry_delay);
}

} // namespace goldcrestwell::internal
