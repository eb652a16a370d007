#include "goldcrestwell/core/config/checkpoint_collector.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell::internal {

std::vector<checkpoint_part> checkpoint_collector::add(checkpoint_part part) {
    if (part.index >= part.count) {
        return {};
    }
    auto& parts = find_matching_parts(part);
    const auto count = part.count;
    const auto index = part.index;
    parts.insert_or_assign(index, std::move(part));
    return parts.size() == count ? take_complete(parts) : std::vector<checkpoint_part>{};
}

checkpoint_collector::part_map& checkpoint_collector::find_matching_parts(const checkpoint_part& part) {
    const auto found = std::find_if(incomplete_.begin(), incomplete_.end(), [&part](const part_map& parts) {
        const auto& first = parts.begin()->second;
        return first.covered_offset == part.covered_offset && first.digest == part.digest && first.count == part.count;
    });
    if (found != incomplete_.end()) {
        return *found;
    }
    if (incomplete_.size() == max_incomplete_checkpoints) {
        incomplete_.pop_front();
    }
    return incomplete_.emplace_back();
}

std::vector<checkpoint_part> checkpoint_collector::take_complete(const part_map& complete) {
    std::vector<checkpoint_part> complete_parts;
    complete_parts.reserve(complete.size());
    for (const auto& [index, part] : complete) {
        complete_parts.push_back(part);
    }
    std::erase_if(incomplete_, [&complete](const part_map& parts) { return &parts == &complete; });
    return complete_parts;
}

} // namespace goldcrestwell::internal
