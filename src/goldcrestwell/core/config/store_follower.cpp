#include "goldcrestwell/core/config/store_follower.hpp"

#include "goldcrestwell/core/common/store_offset.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

// Interval of the checks whether the first records have arrived from a peer.
constexpr std::chrono::milliseconds peer_wait_check_interval{50};

} // namespace

store_follower::store_follower(store_follower_options options)
    : options_{std::move(options)}, random_{options_.seed}, retry_delay_{options_.min_retry_delay} {}

void store_follower::start(const steady_time now) {
    if (options_.max_peer_wait == std::chrono::milliseconds{}) {
        read();
        return;
    }
    peer_wait_ends_ = now + options_.max_peer_wait;
    next_read_at_ = now + std::min(options_.peer_discovery_time, options_.max_peer_wait);
}

void store_follower::read() {
    next_read_at_.reset();
    requested_ = position_;
    if (position_) {
        options_.read_after(*position_, poll_time());
    } else {
        options_.read_newest();
    }
}

std::chrono::milliseconds store_follower::poll_time() const {
    if (last_read_failed_) {
        return {};
    }
    const auto is_brief = options_.polls_briefly && options_.polls_briefly();
    return is_brief ? options_.short_poll : options_.long_poll;
}

void store_follower::on_page(const store_page& page, const steady_time now) {
    last_read_failed_ = page.outcome == read_outcome::failed;
    if (last_read_failed_) {
        set_reachable(false);
        // The delay is random, so that the nodes do not all read at once when the store is available again.
        schedule_read(retry_delay_, now);
        retry_delay_ = std::min(retry_delay_ * 2, options_.max_retry_delay);
        return;
    }
    set_reachable(true);
    if (drop_if_replaced(page, now)) {
        return;
    }
    retry_delay_ = options_.min_retry_delay;
    if (page.outcome == read_outcome::expired) {
        position_.reset();
    } else {
        // A stale replica may return an earlier end; the position never decreases.
        position_ = std::max(position_.value_or(log_offset{}), page.end);
        options_.page_received(page);
    }
    // A store that answers long polls immediately must not be read in a tight loop.
    if (page.records.empty()) {
        next_read_at_ = now + options_.empty_read_delay;
        return;
    }
    if (is_on_standby()) {
        schedule_read(options_.max_standby_read_interval, now);
        return;
    }
    read();
}

bool store_follower::drop_if_replaced(const store_page& page, const steady_time now) {
    const auto era = era_of(page.end);
    if (position_ && era < era_of(*position_)) {
        // A peer has read a later history than the one that answered.
        schedule_read(retry_delay_, now);
        retry_delay_ = std::min(retry_delay_ * 2, options_.max_retry_delay);
        return true;
    }
    if (!requested_ || era == era_of(*requested_)) {
        return false;
    }
    if (position_ && era_of(*position_) < era) {
        position_.reset();
    }
    read();
    return true;
}

void store_follower::schedule_read(const std::chrono::milliseconds max_delay, const steady_time now) {
    std::uniform_int_distribution<std::chrono::milliseconds::rep> delay{max_delay.count() / 2, max_delay.count()};
    next_read_at_ = now + std::chrono::milliseconds{delay(random_)};
}

void store_follower::advance_to(const log_offset position) {
    if (position != log_offset{}) {
        position_ = std::max(position_.value_or(position), position);
    }
}

// After the restart of a whole fleet no peer has records yet; then the nodes that read immediately fetch them and the
// others receive them.
bool store_follower::awaits_peer_records(const steady_time now) const {
    return !position_ && now < peer_wait_ends_ &&
           (is_on_standby() || (options_.expects_peer_records && options_.expects_peer_records()));
}

void store_follower::on_timer(const steady_time now) {
    if (!next_read_at_ || now < *next_read_at_) {
        return;
    }
    if (awaits_peer_records(now)) {
        next_read_at_ = std::min(now + peer_wait_check_interval, peer_wait_ends_);
        return;
    }
    if (position_ && is_on_standby() && options_.has_recent_peer_data && options_.has_recent_peer_data()) {
        next_read_at_ = now + options_.standby_check_interval;
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
