#include "goldcrestwell/core/config/checkpoint_schedule.hpp"

#include <algorithm>

namespace goldcrestwell::internal {

void checkpoint_schedule::start(const steady_time now) noexcept {
    // The age of the newest checkpoint is unknown after a start. With half of the usual interval, a fleet that restarts
    // often still writes checkpoints, and one that restarts as a whole does not write many.
    stale_at_ = now + intervals_.retention / 6;
    check_at_ = stale_at_;
}

void checkpoint_schedule::on_part(const checkpoint_part& part, const bool is_recent, const steady_time now) {
    const auto complete = collector_.add(part);
    // A slow writer may append a checkpoint of an older state, which expires sooner.
    if (complete.empty() || part.covered_offset < newest_covered_offset_) {
        return;
    }
    newest_covered_offset_ = part.covered_offset;
    if (!is_recent) {
        return;
    }
    stale_at_ = now + intervals_.retention / 3;
    check_at_ = stale_at_;
}

bool checkpoint_schedule::start_write_if_due(const steady_time now, const std::function<std::size_t()>& rank) {
    if (now < check_at_) {
        return false;
    }
    const auto write_at = stale_at_ + intervals_.rank_interval * static_cast<std::chrono::milliseconds::rep>(rank());
    if (now < write_at) {
        check_at_ = std::min<steady_time>(write_at, now + intervals_.rank_interval * rank_recheck_intervals);
        return false;
    }
    postpone(now);
    return true;
}

} // namespace goldcrestwell::internal
