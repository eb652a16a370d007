#include "goldcrestwell/core/node/upstream_registry.hpp"

#include <utility>

namespace goldcrestwell {

upstream_change upstream_registry::on_announcement(const upstream_announcement& announcement) {
    if (announcement.service != options_.service || announcement.address != options_.address) {
        return upstream_change::none;
    }
    const auto same_start = latest_ && latest_->id == announcement.id && latest_->started == announcement.started;
    if (latest_ && !same_start && announcement.started <= latest_->started) {
        return upstream_change::none;
    }
    if (same_start && (latest_->leaving || announcement.sequence <= latest_->sequence)) {
        return latest_->leaving && announcement.leaving ? upstream_change::leaving : upstream_change::none;
    }
    latest_ = announcement;
    if (announcement.leaving) {
        return upstream_change::leaving;
    }
    return same_start ? upstream_change::renewed : upstream_change::started;
}

upstream_change upstream_registry::on_withdrawal(const std::string_view id) {
    if (!latest_ || latest_->id != id) {
        return upstream_change::none;
    }
    latest_->leaving = true;
    return upstream_change::leaving;
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
