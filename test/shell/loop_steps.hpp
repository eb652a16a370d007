#ifndef GOLDCRESTWELL_TEST_SHELL_LOOP_STEPS_HPP
#define GOLDCRESTWELL_TEST_SHELL_LOOP_STEPS_HPP

#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <chrono>
#include <functional>

namespace goldcrestwell::test {

/** @brief Runs a loop until a condition is true; returns false if this takes more than 20 s. */
inline bool run_until(event_loop& loop, const std::function<bool()>& condition) {
    constexpr std::chrono::seconds timeout{20};
    constexpr std::chrono::milliseconds step{10};
    const auto deadline = loop.now().steady + timeout;
    while (!condition()) {
        if (loop.now().steady >= deadline) {
            return false;
        }
        timer step_timer{loop, [&loop](time_sample) {
                             loop.stop();
                         }};
        step_timer.schedule_after(step);
        loop.run();
    }
    return true;
}

} // namespace goldcrestwell::test

#endif
