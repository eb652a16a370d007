#include "goldcrestwell/core/node/upstream_registry.hpp"

#include <utility>

namespace goldcrestwell {

upstream_change upstream_registry::on_announcement(const upstream_announcement& announcement) {
    if (announcement.service != options_.service || announcement.address != options_.address) {
        return upstream_change::none;
    }
    const auto same_start = newest_ && newest_->id == announcement.id && newest_->started == announcement.started;
    if (newest_ && !same_start && announcement.started <= newest_->started) {
        return upstream_change::none;
    }
    if (same_start && (newest_->leaving || announcement.sequence <= newest_->sequence)) {
        return newest_->leaving && announcement.leaving ? upstream_change::leaving : upstream_change::none;
    }
    newest_ = announcement;
    if (announcement.leaving) {
        return upstream_change::leaving;
    }
    return same_start ? upstream_change::renewed : upstream_change::started;
}

upstream_change upstream_registry::on_departure(const std::string_view id) {
    if (!newest_ || newest_->id != id) {
        return upstream_change::none;
    }
    newest_->leaving = true;
    return upstream_change::leaving;
}

upstream_info upstream_registry::info() const {
    if (!newest_) {
        return {};
    }
    return {.service = newest_->service,
            .version = newest_->version,
            .slots = newest_->slots,
            .generation = static_cast<std::uint64_t>(newest_->started.time_since_epoch().count()),
            .warm = newest_->cold_for <= std::chrono::milliseconds{}};
}

} // namespace goldcrestwell
