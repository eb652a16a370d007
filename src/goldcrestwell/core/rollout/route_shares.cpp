#include "goldcrestwell/core/rollout/route_shares.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace goldcrestwell {

namespace {

using share_value = share::value_type;

struct version_allocation {
    upstream_version version;
    share_value base{};
    share_value target{};
    share_value current{};
    bool candidate{};
    bool has_upstream{};
};

share_value scaled(const std::uint64_t amount, const std::uint64_t factor, const std::uint64_t divisor) noexcept {
    return divisor == 0 ? 0 : static_cast<share_value>(amount * factor / divisor);
}

std::vector<version_allocation> collect(const route_plan& plan, const share_inputs& inputs) {
    std::vector<version_allocation> allocations;
    for (const auto* shares : {&plan.base, &plan.target}) {
        for (const auto& entry : *shares) {
            const auto is_same_version = [&entry](const version_allocation& allocation) {
                return allocation.version == entry.version;
            };
            if (std::any_of(allocations.begin(), allocations.end(), is_same_version)) {
                continue;
            }
            const auto base = share_of(plan.base, entry.version).value();
            const auto target = share_of(plan.target, entry.version).value();
            allocations.push_back({.version = entry.version,
                                   .base = base,
                                   .target = target,
                                   .current = base,
                                   .candidate = target > base,
                                   .has_upstream = inputs.has_upstream(entry.version)});
        }
    }
    return allocations;
}

share_value grow_candidates(std::vector<version_allocation>& allocations, const share_inputs& inputs) {
    share_value total_gain = 0;
    for (auto& allocation : allocations) {
        if (!allocation.candidate || !allocation.has_upstream) {
            continue;
        }
        const auto gain = scaled(allocation.target - allocation.base, inputs.progress(allocation.version).value(),
                                 full_share.value());
        allocation.current = allocation.base + gain;
        total_gain += gain;
    }
    return total_gain;
}

// Takes the gain of the candidates from the other versions, in proportion to their planned reductions. A second pass
// takes the rest that rounding leaves, so that the shares keep their sum.
void shrink_non_candidates(std::vector<version_allocation>& allocations, const share_value total_gain) {
    std::uint64_t total_reduction = 0;
    for (const auto& allocation : allocations) {
        total_reduction += allocation.candidate ? 0 : allocation.base - allocation.target;
    }
    auto remaining = total_gain;
    for (auto& allocation : allocations) {
        if (!allocation.candidate) {
            const auto reduction =
                std::min(remaining, scaled(allocation.base - allocation.target, total_gain, total_reduction));
            allocation.current -= reduction;
            remaining -= reduction;
        }
    }
    for (auto& allocation : allocations) {
        if (!allocation.candidate) {
            const auto reduction = std::min(remaining, allocation.current);
            allocation.current -= reduction;
            remaining -= reduction;
        }
    }
}

// Only versions that are not candidates take over traffic, because a candidate must not exceed the share of its stage.
void reassign_dead_versions(std::vector<version_allocation>& allocations) {
    const auto can_take_traffic = [](const version_allocation& allocation) {
        return allocation.has_upstream && !allocation.candidate && allocation.current > 0;
    };
    const auto receiver = std::find_if(allocations.begin(), allocations.end(), can_take_traffic);
    if (receiver == allocations.end()) {
        return;
    }
    std::uint64_t freed_share = 0;
    for (auto& allocation : allocations) {
        if (!allocation.has_upstream) {
            freed_share += std::exchange(allocation.current, 0);
        }
    }
    std::uint64_t total_weight = 0;
    for (const auto& allocation : allocations) {
        total_weight += can_take_traffic(allocation) ? allocation.current : 0;
    }
    auto remaining = static_cast<share_value>(freed_share);
    for (auto& allocation : allocations) {
        if (can_take_traffic(allocation)) {
            const auto gain = scaled(freed_share, allocation.current, total_weight);
            allocation.current += gain;
            remaining -= gain;
        }
    }
    receiver->current += remaining;
}

} // namespace

bool is_candidate(const route_plan& plan, const upstream_version& version) noexcept {
    return share_of(plan.target, version) > share_of(plan.base, version);
}

share candidate_limit(const route_plan& plan, const upstream_version& version, const share progress) noexcept {
    const auto base = share_of(plan.base, version).value();
    const auto target = share_of(plan.target, version).value();
    return share{base + scaled(target - base, progress.value(), full_share.value())};
}

std::vector<version_share> route_shares(const route_plan& plan, const share_inputs& inputs) {
    auto allocations = collect(plan, inputs);
    shrink_non_candidates(allocations, grow_candidates(allocations, inputs));
    reassign_dead_versions(allocations);
    std::vector<version_share> shares;
    shares.reserve(allocations.size());
    for (auto& allocation : allocations) {
        if (allocation.current > 0 || allocation.target > 0) {
            shares.push_back({.version = std::move(allocation.version), .share = share{allocation.current}});
        }
    }
    return shares;
}

} // namespace goldcrestwell
