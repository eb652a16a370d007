#include "goldcrestwell/core/config/store_follower.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

store_follower::store_follower(store_follower_options options)
    : options_{std::move(options)}, random_{options_.seed}, wait_{options_.retry_min} {}

void store_follower::start() {
    read();
}

void store_follower::read() {
    retry_.reset();
    if (position_) {
        options_.read_after(*position_, options_.long_poll);
    } else {
        options_.read_newest();
    }
}

void store_follower::on_page(const store_page& page, const steady_time now) {
    if (page.outcome == read_outcome::failed) {
        set_reachable(false);
        // A random part keeps the nodes from returning together when the store comes back.
        pause(wait_, now);
        wait_ = std::min(wait_ * 2, options_.retry_max);
        return;
    }
    set_reachable(true);
    wait_ = options_.retry_min;
    if (page.outcome == read_outcome::expired) {
        position_.reset();
    } else {
        // A stale replica may answer with an earlier end; the position never goes back.
        position_ = std::max(position_.value_or(log_offset{}), page.end);
        options_.received(page);
    }
    // A store that answers polls at once must not keep this node busy.
    if (page.records.empty()) {
        retry_ = now + options_.empty_pause;
        return;
    }
    if (on_standby()) {
        pause(options_.standby_pause, now);
        return;
    }
    read();
}

void store_follower::pause(const std::chrono::milliseconds longest, const steady_time now) {
    std::uniform_int_distribution<std::chrono::milliseconds::rep> part{longest.count() / 2, longest.count()};
    retry_ = now + std::chrono::milliseconds{part(random_)};
}

void store_follower::advance(const log_offset position) {
    if (position_) {
        position_ = std::max(*position_, position);
    }
}

void store_follower::on_timer(const steady_time now) {
    if (!retry_ || now < *retry_) {
        return;
    }
    if (reachable_ && position_ && on_standby() && options_.informed && options_.informed()) {
        retry_ = now + options_.standby_check;
        return;
    }
    read();
}

void store_follower::set_reachable(const bool reachable) {
    if (std::exchange(reachable_, reachable) != reachable) {
        options_.reachable_changed(reachable);
    }
}

} // namespace goldcrestwell
