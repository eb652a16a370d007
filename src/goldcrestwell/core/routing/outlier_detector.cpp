#include "goldcrestwell/core/routing/outlier_detector.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

constexpr std::uint32_t most_doublings = 16;
// Records above the size of the group belong to nodes that have gone.
constexpr std::size_t spare_records = 64;

} // namespace

void outlier_detector::on_success(const node_id node) {
    records_.erase(node.value());
}

void outlier_detector::on_failure(const node_id node, const size_type group, const steady_time now) {
    if (records_.size() > group + spare_records) {
        forget_gone(now);
    }
    auto& item = records_[node.value()];
    ++item.failures;
    if (now < item.until) {
        return;
    }
    // A node that has been ejected before returns on trial: its first failure ejects it again.
    if (item.ejections == 0 && item.failures < options_.failures_in_a_row) {
        return;
    }
    // With more than half of the nodes out, the rest would be overloaded, and the fault is rarely in the nodes.
    if ((ejected(now) + 1) * 2 > group) {
        return;
    }
    const auto doublings = std::min(item.ejections, most_doublings);
    const auto length = std::min(options_.first_ejection * (1U << doublings), options_.longest_ejection);
    item.until = now + length;
    ++item.ejections;
}

void outlier_detector::forget_gone(const steady_time now) {
    std::erase_if(records_,
                  [this, now](const auto& item) { return item.second.until + options_.longest_ejection < now; });
}

bool outlier_detector::admits(const node_id node, const size_type in_flight, const steady_time now) const {
    const auto found = records_.find(node.value());
    if (found == records_.end() || found->second.ejections == 0) {
        return true;
    }
    return now >= found->second.until && in_flight == 0;
}

outlier_detector::size_type outlier_detector::ejected(const steady_time now) const {
    return static_cast<size_type>(
        std::ranges::count_if(records_, [now](const auto& item) { return now < item.second.until; }));
}

} // namespace goldcrestwell
