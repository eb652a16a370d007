#include "goldcrestwell/core/config/read_schedule.hpp"

#include <algorithm>

namespace goldcrestwell::internal {

namespace {

// The second read at once serves a node that finds more to read after it restored a checkpoint.
constexpr int own_read_burst = 2;

} // namespace

read_schedule::read_schedule(const read_intervals& intervals)
    : intervals_{intervals}, own_reads_{intervals.own_read, own_read_burst}, retry_wait_{intervals.retry_min} {}

void read_schedule::want_by(const steady_time at) noexcept {
    wanted_at_ = std::min(wanted_at_.value_or(at), at);
}

std::optional<steady_time> read_schedule::next() const noexcept {
    if (reading_) {
        return std::nullopt;
    }
    if (relay_ || continuing_) {
        return earliest_;
    }
    if (wanted_at_) {
        return std::max({*wanted_at_, earliest_, own_reads_.available_at()});
    }
    return std::nullopt;
}

void read_schedule::started(const steady_time now) noexcept {
    if (!relay_ && !continuing_) {
        static_cast<void>(own_reads_.take(now));
    }
    reading_ = true;
    wanted_at_.reset();
}

void read_schedule::succeeded(const steady_time now, const bool progress, const bool more) noexcept {
    reading_ = false;
    failing_ = false;
    at_head_ = !more;
    continuing_ = progress && more;
    retry_wait_ = intervals_.retry_min;
    // A log that answers at once without anything new must not be read in a tight loop.
    earliest_ = progress ? now : now + intervals_.retry_min;
}

void read_schedule::failed(const steady_time now, const std::chrono::milliseconds jitter) noexcept {
    reading_ = false;
    failing_ = true;
    continuing_ = false;
    earliest_ = now + retry_wait_ + jitter;
    retry_wait_ = std::min(retry_wait_ * 2, intervals_.retry_max);
}

} // namespace goldcrestwell::internal
