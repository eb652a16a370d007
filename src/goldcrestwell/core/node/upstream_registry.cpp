#include "goldcrestwell/core/node/upstream_registry.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

namespace {

bool is_same_start(const upstream_announcement& left, const upstream_announcement& right) {
    return left.id == right.id && left.started == right.started;
}

} // namespace

upstream_change upstream_registry::on_announcement(const upstream_announcement& announcement) {
    if (announcement.service != options_.service || announcement.address != options_.address) {
        return upstream_change::none;
    }
    if (departure_known_ || announcement.leaving) {
        return accept(announcement);
    }
    // An upstream that has left sends no further announcements, so a later one shows that it is in service. This only
    // matters while the store cannot be read.
    departure_known_ =
        unconfirmed_ && is_same_start(*unconfirmed_, announcement) && announcement.sequence > unconfirmed_->sequence;
    if (departure_known_) {
        unconfirmed_.reset();
        return accept(announcement);
    }
    if (!unconfirmed_ || announcement.started > unconfirmed_->started) {
        unconfirmed_ = announcement;
    }
    return upstream_change::none;
}

upstream_change upstream_registry::accept(const upstream_announcement& announcement) {
    if (has_left(announcement)) {
        if (!announcement.leaving) {
            return upstream_change::none;
        }
        departure_ = {.id = announcement.id, .started = announcement.started};
        return upstream_change::leaving;
    }
    const auto same_start = latest_ && is_same_start(*latest_, announcement);
    if (latest_ && !same_start && announcement.started <= latest_->started) {
        return upstream_change::none;
    }
    if (same_start && announcement.sequence <= latest_->sequence) {
        return upstream_change::none;
    }
    latest_ = announcement;
    if (announcement.leaving) {
        departure_ = {.id = announcement.id, .started = announcement.started};
        return upstream_change::leaving;
    }
    return same_start ? upstream_change::renewed : upstream_change::started;
}

upstream_change upstream_registry::on_withdrawal(const std::string_view id, const wall_time now) {
    if (latest_) {
        if (latest_->id != id) {
            return upstream_change::none;
        }
        departure_ = {.id = latest_->id, .started = latest_->started};
        return upstream_change::leaving;
    }
    auto started = unconfirmed_ && unconfirmed_->id == id ? unconfirmed_->started : now;
    if (departure_ && departure_->id == id) {
        started = std::max(started, departure_->started);
    }
    departure_ = {.id = std::string{id}, .started = started};
    return upstream_change::leaving;
}

upstream_change upstream_registry::restore(const std::optional<upstream_departure>& departure) {
    departure_known_ = true;
    const auto was_in_use = latest_ && !has_left(*latest_);
    recorded_departure_ = departure;
    if (was_in_use && has_left(*latest_)) {
        departure_ = departure;
        return upstream_change::leaving;
    }
    if (const auto announcement = std::exchange(unconfirmed_, std::nullopt)) {
        return accept(*announcement);
    }
    return upstream_change::none;
}

bool upstream_registry::has_left(const upstream_announcement& announcement) const {
    const auto names = [&announcement](const std::optional<upstream_departure>& departure) {
        return departure && announcement.id == departure->id && announcement.started <= departure->started;
    };
    return names(departure_) || names(recorded_departure_);
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
