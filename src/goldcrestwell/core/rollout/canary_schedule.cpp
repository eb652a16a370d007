#include "goldcrestwell/core/rollout/canary_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace goldcrestwell {

namespace {

double to_fraction(const share value) noexcept {
    return static_cast<double>(value.value()) / full_share.value();
}

} // namespace

double canary_schedule::burst_share(const upstream_counts upstreams) const noexcept {
    const auto candidates = static_cast<double>(std::max<size_type>(upstreams.candidates, 1));
    auto unbounded = options_.final_load_ratio / candidates;
    if (upstreams.current != 0) {
        unbounded = std::min(unbounded, options_.max_current_load_ratio / static_cast<double>(upstreams.current));
    }
    return std::clamp(unbounded, to_fraction(options_.min_burst_share), to_fraction(options_.max_burst_share));
}

share canary_schedule::share_at(const std::chrono::microseconds since_request,
                                const upstream_counts upstreams) const noexcept {
    const auto burst = burst_share(upstreams);
    const std::chrono::duration<double, std::micro> burst_duration =
        options_.group_duration * (to_fraction(options_.mean_share) / burst);
    const auto elapsed_in_group = since_request % options_.group_duration;
    return elapsed_in_group < burst_duration
               ? share{static_cast<std::uint32_t>(std::lround(burst * full_share.value()))}
               : share{};
}

canary_group canary_schedule::group_at(const std::chrono::microseconds since_request,
                                       const upstream_counts upstreams) const noexcept {
    if (upstreams.candidates == 0) {
        return {};
    }
    const auto unbounded =
        burst_share(upstreams) * static_cast<double>(upstreams.candidates) / options_.final_load_ratio;
    const auto count = std::clamp<size_type>(static_cast<size_type>(unbounded), 1, upstreams.candidates);
    const auto group = static_cast<size_type>(since_request / options_.group_duration);
    return {.first = group * count % upstreams.candidates, .count = count};
}

} // namespace goldcrestwell
