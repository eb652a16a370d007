#ifndef GOLDCRESTWELL_CORE_ROLLOUT_SCHEDULE_LIMITS_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_SCHEDULE_LIMITS_HPP

#include <chrono>

namespace goldcrestwell {

/** @brief Bounds of the stage schedule. */
struct schedule_limits {
    /** @brief Time from the edit to the deadline of a row without a deadline. */
    std::chrono::milliseconds default_rollout_duration{std::chrono::minutes{10}};
    /** @brief Shortest time at a stage; long enough for two reports, one second apart, to reach the coordinator. */
    std::chrono::milliseconds min_dwell{2'000};
    /** @brief Longest time at a stage; bounds the delay of a good version if the deadline is far away. */
    std::chrono::milliseconds max_dwell{std::chrono::minutes{10}};
    std::chrono::milliseconds min_bake{4'000};
    std::chrono::milliseconds max_bake{std::chrono::hours{2}};
};

} // namespace goldcrestwell

#endif
