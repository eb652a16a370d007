#include "goldcrestwell/core/config/checkpoint_schedule.hpp"

#include <algorithm>

namespace goldcrestwell::internal {

void checkpoint_schedule::start(const steady_time now) noexcept {
    // The age of the newest checkpoint is not known after a start; half the usual wait is assumed, so that a fleet that
    // restarts often still writes checkpoints, and one that restarts at once does not write many.
    old_at_ = now + intervals_.retention / 6;
    check_at_ = old_at_;
}

void checkpoint_schedule::on_part(const checkpoint_part& part, const bool recent, const steady_time now) {
    const auto whole = collector_.add(part);
    // A late writer may add a checkpoint of an old state, which expires sooner.
    if (whole.empty() || part.covers < newest_covers_) {
        return;
    }
    newest_covers_ = part.covers;
    if (!recent) {
        return;
    }
    old_at_ = now + intervals_.retention / 3;
    check_at_ = old_at_;
}

bool checkpoint_schedule::due(const steady_time now, const std::function<std::size_t()>& rank) {
    if (now < check_at_) {
        return false;
    }
    const auto turn = old_at_ + intervals_.rank_interval * static_cast<std::chrono::milliseconds::rep>(rank());
    if (now < turn) {
        check_at_ = std::min<steady_time>(turn, now + intervals_.rank_interval * rank_checks);
        return false;
    }
    postpone(now);
    return true;
}

} // namespace goldcrestwell::internal
