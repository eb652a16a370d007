#include "goldcrestwell/core/routing/outlier_detector.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

constexpr std::uint32_t max_doublings = 16;
// Records in excess of the group size belong to nodes that are gone.
constexpr std::size_t max_stale_records = 64;

} // namespace

void outlier_detector::on_success(const node_id node) {
    records_.erase(node.value());
}

void outlier_detector::on_failure(const node_id node, const size_type group_size, const steady_time now) {
    if (records_.size() > group_size + max_stale_records) {
        remove_stale(now);
    }
    auto& state = records_[node.value()];
    ++state.failures;
    if (now < state.ejected_until) {
        return;
    }
    // A node that was ejected before is on probation: its first failure ejects it again.
    if (state.ejections == 0 && state.failures < options_.consecutive_failures) {
        return;
    }
    // If more than half of the nodes were ejected, the rest would be overloaded; so many failures are rarely
    // caused by the nodes.
    if ((ejected_count(now) + 1) * 2 > group_size) {
        return;
    }
    const auto doublings = std::min(state.ejections, max_doublings);
    const auto ejection_time = std::min(options_.base_ejection_time * (1U << doublings), options_.max_ejection_time);
    state.ejected_until = now + ejection_time;
    ++state.ejections;
}

void outlier_detector::remove_stale(const steady_time now) {
    std::erase_if(records_, [this, now](const auto& state) {
        return state.second.ejected_until + options_.max_ejection_time < now;
    });
}

bool outlier_detector::admits(const node_id node, const size_type in_flight, const steady_time now) const {
    const auto found = records_.find(node.value());
    if (found == records_.end() || found->second.ejections == 0) {
        return true;
    }
    return now >= found->second.ejected_until && in_flight == 0;
}

outlier_detector::size_type outlier_detector::ejected_count(const steady_time now) const {
    return static_cast<size_type>(
        std::ranges::count_if(records_, [now](const auto& state) { return now < state.second.ejected_until; }));
}

} // namespace goldcrestwell
