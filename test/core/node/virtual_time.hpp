#ifndef GOLDCRESTWELL_TEST_CORE_NODE_VIRTUAL_TIME_HPP
#define GOLDCRESTWELL_TEST_CORE_NODE_VIRTUAL_TIME_HPP

#include "goldcrestwell/core/common/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <utility>

namespace goldcrestwell::test {

/** @brief Simulated clock with an event queue; events with the same time run in insertion order. */
class virtual_time {
public:
    using action = std::function<void()>;

    [[nodiscard]] steady_time now() const noexcept { return now_; }
    [[nodiscard]] time_sample sample() const {
        const auto since_start = std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch());
        return {.steady = now_, .wall = wall_time{std::chrono::milliseconds{1'700'000'000'000}} + since_start};
    }

    void at(const steady_time when, action callback) { events_.emplace(std::max(when, now_), std::move(callback)); }
    void after(const std::chrono::microseconds delay, action callback) { at(now_ + delay, std::move(callback)); }

    void run_for(const std::chrono::microseconds duration) {
        const auto end = now_ + duration;
        while (!events_.empty() && events_.begin()->first <= end) {
            auto next = events_.extract(events_.begin());
            now_ = next.key();
            ++executed_events_;
            next.mapped()();
        }
        now_ = end;
    }

    [[nodiscard]] std::size_t executed_events() const noexcept { return executed_events_; }

private:
    steady_time now_{std::chrono::seconds{1'000}};
    std::multimap<steady_time, action> events_;
    std::size_t executed_events_{};
};

} // namespace goldcrestwell::test

#endif
