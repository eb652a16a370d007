#include "goldcrestwell/core/node/departure_history.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell {

void departure_history::add(const upstream_departure& departure) {
    auto added = departure;
    const auto known = std::ranges::find(entries_, departure.id, &upstream_departure::id);
    if (known != entries_.end()) {
        added.started = std::max(added.started, known->started);
        entries_.erase(known);
    }
    entries_.push_back(std::move(added));
    if (entries_.size() > max_entries) {
        entries_.erase(entries_.begin());
    }
}

void departure_history::add_earlier(const std::vector<upstream_departure>& departures) {
    const auto later = std::exchange(entries_, departures);
    std::ranges::for_each(later, [this](const upstream_departure& departure) { add(departure); });
}

bool departure_history::has_left(const upstream_announcement& announcement) const {
    return std::ranges::any_of(entries_, [&announcement](const upstream_departure& departure) {
        return announcement.id == departure.id && announcement.started <= departure.started;
    });
}

} // namespace goldcrestwell
