#include "goldcrestwell/core/node/upstream_registry.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace goldcrestwell {

namespace {

bool is_same_start(const upstream_announcement& left, const upstream_announcement& right) {
    return left.id == right.id && left.started == right.started;
}

upstream_departure departure_of(const upstream_announcement& announcement) {
    return {.id = announcement.id, .started = announcement.started};
}

} // namespace

upstream_change upstream_registry::on_announcement(const upstream_announcement& announcement, const steady_time now) {
    if (!is_local(announcement)) {
        return upstream_change::none;
    }
    if (announcement.leaving) {
        return on_leaving(announcement);
    }
    if (departures_.has_left(announcement)) {
        return upstream_change::none;
    }
    if (may_be_late(announcement, now)) {
        if (!candidate_ || announcement.started > candidate_->started || confirms_candidate(announcement)) {
            candidate_ = announcement;
        }
        return upstream_change::none;
    }
    return accept(announcement, now);
}

bool upstream_registry::is_local(const upstream_announcement& announcement) const {
    return announcement.service == options_.service && announcement.address == options_.address &&
           announcement.data_centre == options_.data_centre;
}

bool upstream_registry::confirms_candidate(const upstream_announcement& announcement) const {
    return candidate_ && is_same_start(*candidate_, announcement) && announcement.sequence > candidate_->sequence;
}

// A departure is acknowledged before the process that acknowledged it ends, so what arrives later than the maximum
// delay after the start of this process was sent after every such acknowledgement.
bool upstream_registry::may_be_late(const upstream_announcement& announcement, const steady_time now) const {
    return !departures_known_ && (now < options_.created + max_announcement_delay || !confirms_candidate(announcement));
}

upstream_change upstream_registry::accept(const upstream_announcement& announcement, const steady_time now) {
    if (!latest_) {
        return use(announcement, now);
    }
    if (is_same_start(*latest_, announcement) && announcement.sequence > latest_->sequence) {
        latest_ = announcement;
        last_announcement_ = now;
        candidate_.reset();
        return upstream_change::renewed;
    }
    if (may_replace(announcement, now)) {
        return use(announcement, now);
    }
    candidate_ = announcement;
    return upstream_change::none;
}

bool upstream_registry::may_replace(const upstream_announcement& announcement, const steady_time now) const {
    const auto silence = now - last_announcement_;
    const auto confirmed = confirms_candidate(announcement);
    if (announcement.started > latest_->started) {
        return confirmed || !is_in_use() || silence >= options_.takeover_silence;
    }
    // An earlier start, or an earlier announcement of the same start, is late as a rule. If nothing else is received,
    // the one in use was false.
    return confirmed && silence >= options_.expiry;
}

upstream_change upstream_registry::use(const upstream_announcement& announcement, const steady_time now) {
    latest_ = announcement;
    last_announcement_ = now;
    candidate_.reset();
    return upstream_change::started;
}

upstream_change upstream_registry::on_leaving(const upstream_announcement& announcement) {
    return add_departure(departure_of(announcement));
}

upstream_change upstream_registry::on_withdrawal(const std::string_view id, const wall_time now) {
    if (latest_ && latest_->id == id) {
        return add_departure(departure_of(*latest_));
    }
    if (candidate_ && candidate_->id == id) {
        return add_departure(departure_of(*candidate_));
    }
    return is_in_use() ? upstream_change::none : add_departure({.id = std::string{id}, .started = now});
}

upstream_change upstream_registry::add_departure(const upstream_departure& departure) {
    departures_.add(departure);
    if (candidate_ && departures_.has_left(*candidate_)) {
        candidate_.reset();
    }
    return is_in_use() ? upstream_change::departed : upstream_change::leaving;
}

upstream_change upstream_registry::on_misdirected(const steady_time now) {
    return candidate_ && is_in_use() && !is_same_start(*candidate_, *latest_) ? use(*candidate_, now)
                                                                              : upstream_change::none;
}

upstream_change upstream_registry::restore(const std::vector<upstream_departure>& departures, const steady_time now) {
    const auto was_in_use = is_in_use();
    departures_known_ = true;
    departures_.add_earlier(departures);
    if (was_in_use && !is_in_use()) {
        return add_departure(departure_of(*latest_));
    }
    if (candidate_ && departures_.has_left(*candidate_)) {
        candidate_.reset();
    }
    return candidate_ && !latest_ ? use(*candidate_, now) : upstream_change::none;
}

upstream_info upstream_registry::info() const {
    if (!latest_) {
        return {};
    }
    return {.service = latest_->service,
            .version = latest_->version,
            .slots = latest_->slots,
            .generation = static_cast<std::uint64_t>(latest_->started.time_since_epoch().count()),
            .warm = latest_->remaining_cold_start <= std::chrono::milliseconds{}};
}

} // namespace goldcrestwell
