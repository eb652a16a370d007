#include "goldcrestwell/core/membership/region_monitor.hpp"

#include "goldcrestwell/core/membership/member_order.hpp"

#include <utility>

namespace goldcrestwell {

namespace {

/** A region is unreachable if more than a third of its members are suspect. */
constexpr std::size_t unreachable_divisor = 3;
/** In the region of this node, more than half must be suspect; then this node itself is partitioned. */
constexpr std::size_t own_region_divisor = 2;
/** With fewer suspects, failures of single hosts are as likely as a partition. */
constexpr std::size_t min_suspects = 3;

} // namespace

region_monitor::region_monitor(region own_region) : own_region_{std::move(own_region)} {}

void region_monitor::update(const member* before, const member* after) {
    if (before != nullptr && !is_tombstone(before->status)) {
        auto& counts = regions_[before->region];
        --counts.members;
        counts.suspects -= before->status == member_status::suspect ? 1U : 0U;
    }
    if (after != nullptr && !is_tombstone(after->status)) {
        auto& counts = regions_[after->region];
        ++counts.members;
        counts.suspects += after->status == member_status::suspect ? 1U : 0U;
    }
}

bool region_monitor::evaluate(const region& name, const steady_time now) {
    const auto found = regions_.find(name);
    if (found == regions_.end()) {
        return false;
    }
    auto& counts = found->second;
    const auto partitioned = is_partitioned(name, counts);
    if (partitioned == counts.unreachable_since.has_value()) {
        return false;
    }
    counts.unreachable_since = partitioned ? std::optional{now} : std::nullopt;
    return true;
}

bool region_monitor::is_partitioned(const region& name, const state& counts) const {
    const auto divisor = name == own_region_ ? own_region_divisor : unreachable_divisor;
    return !name.empty() && counts.suspects >= min_suspects && counts.suspects * divisor > counts.members;
}

bool region_monitor::reachable(const region& name) const {
    return !unreachable_since(name).has_value();
}

std::optional<steady_time> region_monitor::unreachable_since(const region& name) const {
    const auto found = regions_.find(name);
    return found == regions_.end() ? std::nullopt : found->second.unreachable_since;
}

} // namespace goldcrestwell
