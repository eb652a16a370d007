#include "goldcrestwell/core/membership/region_watch.hpp"

#include "goldcrestwell/core/membership/member_order.hpp"

#include <utility>

namespace goldcrestwell {

namespace {

/** A region is unreachable if more than a third of its members are suspect. */
constexpr std::size_t cut_part = 3;
/** In the region of this node, more than half must be suspect; then this node itself is partitioned. */
constexpr std::size_t own_cut_part = 2;
/** With fewer suspects, failures of single hosts are as likely as a partition. */
constexpr std::size_t least_suspects = 3;

} // namespace

region_watch::region_watch(region own) : own_{std::move(own)} {}

void region_watch::update(const member* before, const member* after) {
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

bool region_watch::evaluate(const region& name, const steady_time now) {
    const auto found = regions_.find(name);
    if (found == regions_.end()) {
        return false;
    }
    auto& counts = found->second;
    const auto cut = looks_cut(name, counts);
    if (cut == counts.cut_since.has_value()) {
        return false;
    }
    counts.cut_since = cut ? std::optional{now} : std::nullopt;
    return true;
}

bool region_watch::looks_cut(const region& name, const state& counts) const {
    const auto part = name == own_ ? own_cut_part : cut_part;
    return !name.empty() && counts.suspects >= least_suspects && counts.suspects * part > counts.members;
}

bool region_watch::reachable(const region& name) const {
    return !cut_since(name).has_value();
}

std::optional<steady_time> region_watch::cut_since(const region& name) const {
    const auto found = regions_.find(name);
    return found == regions_.end() ? std::nullopt : found->second.cut_since;
}

} // namespace goldcrestwell
