#ifndef GOLDCRESTWELL_TEST_SHELL_LOOP_STEPS_HPP
#define GOLDCRESTWELL_TEST_SHELL_LOOP_STEPS_HPP

#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <chrono>
#include <functional>

namespace goldcrestwell::test {

/** @brief Runs a loop until a condition holds; returns false if it does not hold within 20 s. */
inline bool run_until(event_loop& loop, const std::function<bool()>& condition) {
    constexpr std::chrono::seconds limit{20};
    constexpr std::chrono::milliseconds step{10};
    const auto end = loop.now().steady + limit;
    while (!condition()) {
        if (loop.now().steady >= end) {
            return false;
        }
        timer next{loop, [&loop](time_sample) {
                       loop.stop();
                   }};
        next.arm_after(step);
        loop.run();
    }
    return true;
}

} // namespace goldcrestwell::test

#endif
