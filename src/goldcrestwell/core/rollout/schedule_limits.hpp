#ifndef GOLDCRESTWELL_CORE_ROLLOUT_SCHEDULE_LIMITS_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_SCHEDULE_LIMITS_HPP

#include <chrono>

namespace goldcrestwell {

/** @brief Bounds of the stage schedule. */
struct schedule_limits {
    /** @brief Time from edit to deadline if the row names no deadline. */
    std::chrono::milliseconds default_move_duration{std::chrono::minutes{10}};
    /** @brief Shortest time at a stage: a report of one second, its way to the proposer, and a second report. */
    std::chrono::milliseconds minimum_dwell{2'000};
    /** @brief Longest time at a stage; a far deadline does not keep a good version waiting. */
    std::chrono::milliseconds maximum_dwell{std::chrono::minutes{10}};
    std::chrono::milliseconds minimum_bake{4'000};
    std::chrono::milliseconds maximum_bake{std::chrono::hours{2}};
};

} // namespace goldcrestwell

#endif
