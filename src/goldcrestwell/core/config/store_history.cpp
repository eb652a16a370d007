#include "goldcrestwell/core/config/store_history.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

store_history::store_history(store_history_options options) : options_{std::move(options)} {}

std::optional<store_era> store_history::on_response(const std::optional<store_era> era) {
    if (!era) {
        responses_without_era_ += era_ ? 1U : 0U;
        return era_.value_or(store_era{});
    }
    if (era_ && *era < *era_) {
        ++stale_responses_;
        options_.stale_response(*era, *era_);
        return std::nullopt;
    }
    const auto previous = std::exchange(era_, era);
    // A node that has just started does not know the history that this one replaced.
    if (previous && *previous != *era) {
        ++replacements_;
        options_.replaced(*previous, *era);
    }
    return era;
}

bool store_history::on_peer_era(const store_era era) {
    if (!era_ || era <= std::max(*era_, peer_era_)) {
        return false;
    }
    peer_era_ = era;
    return true;
}

} // namespace goldcrestwell
