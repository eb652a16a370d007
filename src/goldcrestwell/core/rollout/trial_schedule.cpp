#include "goldcrestwell/core/rollout/trial_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace goldcrestwell {

namespace {

double part_of(const share value) noexcept {
    return static_cast<double>(value.value()) / full_share.value();
}

} // namespace

double trial_schedule::burst_share(const trial_population population) const noexcept {
    const auto candidates = static_cast<double>(std::max<size_type>(population.candidates, 1));
    auto wanted = options_.load_factor / candidates;
    if (population.current != 0) {
        wanted = std::min(wanted, options_.load_limit / static_cast<double>(population.current));
    }
    return std::clamp(wanted, part_of(options_.least_burst), part_of(options_.most_burst));
}

share trial_schedule::share_at(const std::chrono::microseconds since_order,
                               const trial_population population) const noexcept {
    const auto burst = burst_share(population);
    const std::chrono::duration<double, std::micro> length = options_.turn * (part_of(options_.mean) / burst);
    const auto passed = since_order % options_.turn;
    return passed < length ? share{static_cast<std::uint32_t>(std::lround(burst * full_share.value()))} : share{};
}

trial_turn trial_schedule::turn_at(const std::chrono::microseconds since_order,
                                   const trial_population population) const noexcept {
    if (population.candidates == 0) {
        return {};
    }
    const auto wanted = burst_share(population) * static_cast<double>(population.candidates) / options_.load_factor;
    const auto count = std::clamp<size_type>(static_cast<size_type>(wanted), 1, population.candidates);
    const auto turn = static_cast<size_type>(since_order / options_.turn);
    return {.first = turn * count % population.candidates, .count = count};
}

} // namespace goldcrestwell
