#include "goldcrestwell/core/config/checkpoint_collector.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell::internal {

std::vector<checkpoint_part> checkpoint_collector::add(checkpoint_part part) {
    if (part.index >= part.count) {
        return {};
    }
    auto& known = parts_like(part);
    const auto count = part.count;
    const auto index = part.index;
    known.insert_or_assign(index, std::move(part));
    return known.size() == count ? take(known) : std::vector<checkpoint_part>{};
}

checkpoint_collector::parts& checkpoint_collector::parts_like(const checkpoint_part& part) {
    const auto place = std::find_if(incomplete_.begin(), incomplete_.end(), [&part](const parts& known) {
        const auto& first = known.begin()->second;
        return first.covers == part.covers && first.digest == part.digest && first.count == part.count;
    });
    if (place != incomplete_.end()) {
        return *place;
    }
    if (incomplete_.size() == max_incomplete) {
        incomplete_.pop_front();
    }
    return incomplete_.emplace_back();
}

std::vector<checkpoint_part> checkpoint_collector::take(const parts& whole) {
    std::vector<checkpoint_part> all;
    all.reserve(whole.size());
    for (const auto& [index, part] : whole) {
        all.push_back(part);
    }
    std::erase_if(incomplete_, [&whole](const parts& known) { return &known == &whole; });
    return all;
}

} // namespace goldcrestwell::internal
