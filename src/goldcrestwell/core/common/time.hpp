#ifndef GOLDCRESTWELL_CORE_COMMON_TIME_HPP
#define GOLDCRESTWELL_CORE_COMMON_TIME_HPP

#include <chrono>

namespace goldcrestwell {

/** @brief Monotonic time; used for every timer and timeout inside one process. */
using steady_time = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;

/** @brief Calendar time; used for deadlines of rollouts and times of records. */
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/** @brief Readings of both clocks, taken together and passed to the core. */
struct time_sample {
    steady_time steady{};
    wall_time wall{};
};

} // namespace goldcrestwell

#endif
