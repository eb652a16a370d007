#include "goldcrestwell/core/node/record_origin.hpp"

#include <algorithm>

namespace goldcrestwell {

void record_origin::on_peer_position(const log_offset position, const log_offset known,
                                     const steady_time now) noexcept {
    if (position <= known) {
        return;
    }
    announced_position_ = std::max(announced_position_, position);
    if (!behind_since_) {
        behind_since_ = now;
    }
}

void record_origin::on_position(const log_offset known) noexcept {
    if (known >= announced_position_) {
        behind_since_.reset();
    }
}

std::optional<std::chrono::milliseconds> record_origin::delay(const steady_time now) const noexcept {
    if (!behind_since_) {
        return std::nullopt;
    }
    return std::chrono::floor<std::chrono::milliseconds>(now - *behind_since_);
}

} // namespace goldcrestwell
