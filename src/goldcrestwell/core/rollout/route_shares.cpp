#include "goldcrestwell/core/rollout/route_shares.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace goldcrestwell {

namespace {

using share_value = share::value_type;

struct version_part {
    upstream_version version;
    share_value base{};
    share_value target{};
    share_value now{};
    bool candidate{};
    bool alive{};
};

share_value scaled(const std::uint64_t amount, const std::uint64_t factor, const std::uint64_t divisor) noexcept {
    return divisor == 0 ? 0 : static_cast<share_value>(amount * factor / divisor);
}

std::vector<version_part> collect(const route_plan& plan, const share_inputs& inputs) {
    std::vector<version_part> parts;
    for (const auto* shares : {&plan.base, &plan.target}) {
        for (const auto& entry : *shares) {
            const auto known = [&entry](const version_part& part) {
                return part.version == entry.version;
            };
            if (std::any_of(parts.begin(), parts.end(), known)) {
                continue;
            }
            const auto base = share_of(plan.base, entry.version).value();
            const auto target = share_of(plan.target, entry.version).value();
            parts.push_back({.version = entry.version,
                             .base = base,
                             .target = target,
                             .now = base,
                             .candidate = target > base,
                             .alive = inputs.has_upstream(entry.version)});
        }
    }
    return parts;
}

share_value grow_candidates(std::vector<version_part>& parts, const share_inputs& inputs) {
    share_value gained = 0;
    for (auto& part : parts) {
        if (!part.candidate || !part.alive) {
            continue;
        }
        const auto gain = scaled(part.target - part.base, inputs.progress(part.version).value(), full_share.value());
        part.now = part.base + gain;
        gained += gain;
    }
    return gained;
}

// Rounds each loss up to what is left of the gain, so that the shares keep their sum.
void shrink_others(std::vector<version_part>& parts, const share_value gained) {
    std::uint64_t losable = 0;
    for (const auto& part : parts) {
        losable += part.candidate ? 0 : part.base - part.target;
    }
    auto left = gained;
    for (auto& part : parts) {
        if (!part.candidate) {
            const auto loss = std::min(left, scaled(part.base - part.target, gained, losable));
            part.now -= loss;
            left -= loss;
        }
    }
    for (auto& part : parts) {
        if (!part.candidate) {
            const auto loss = std::min(left, part.now);
            part.now -= loss;
            left -= loss;
        }
    }
}

// Only versions that are not candidates may take traffic over, because a candidate must not exceed its stage.
void leave_dead_versions(std::vector<version_part>& parts) {
    const auto can_take = [](const version_part& part) {
        return part.alive && !part.candidate && part.now > 0;
    };
    const auto taker = std::find_if(parts.begin(), parts.end(), can_take);
    if (taker == parts.end()) {
        return;
    }
    std::uint64_t freed = 0;
    for (auto& part : parts) {
        if (!part.alive) {
            freed += std::exchange(part.now, 0);
        }
    }
    std::uint64_t weight = 0;
    for (const auto& part : parts) {
        weight += can_take(part) ? part.now : 0;
    }
    auto left = static_cast<share_value>(freed);
    for (auto& part : parts) {
        if (can_take(part)) {
            const auto gain = scaled(freed, part.now, weight);
            part.now += gain;
            left -= gain;
        }
    }
    taker->now += left;
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
    auto parts = collect(plan, inputs);
    shrink_others(parts, grow_candidates(parts, inputs));
    leave_dead_versions(parts);
    std::vector<version_share> shares;
    shares.reserve(parts.size());
    for (auto& part : parts) {
        if (part.now > 0 || part.target > 0) {
            shares.push_back({.version = std::move(part.version), .share = share{part.now}});
        }
    }
    return shares;
}

} // namespace goldcrestwell
