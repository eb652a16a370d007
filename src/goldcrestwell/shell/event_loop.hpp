#ifndef GOLDCRESTWELL_SHELL_EVENT_LOOP_HPP
#define GOLDCRESTWELL_SHELL_EVENT_LOOP_HPP

#include "goldcrestwell/core/common/time.hpp"

#include <cstdint>
#include <functional>
#include <memory>

struct event_base;

namespace goldcrestwell {

/** @brief Resolution of the loop's timers. */
enum class timer_precision : std::uint8_t {
    milliseconds, /**< Timers expire up to some milliseconds late, for the fewest wake-ups and system calls. */
    microseconds  /**< For measurements, whose calls must start at their planned time. */
};

/** @brief The only loop of the process; every socket, timer and signal is served by it. */
class event_loop {
public:
    explicit event_loop(timer_precision precision = timer_precision::milliseconds);

    /** @return The libevent base, for objects of this module. */
    [[nodiscard]] event_base* base() const noexcept { return base_.get(); }

    /** @return Both clocks, read now. */
    [[nodiscard]] time_sample now() const;

    /** @brief Serves events until `stop` is called. */
    void run();

    /** @brief Lets `run` return after the event being served. */
    void stop();

    /** @brief Runs a task after the event being served, for work that must not nest. */
    void defer(std::function<void()> task);

private:
    struct base_deleter {
        void operator()(event_base* base) const noexcept;
    };

    std::unique_ptr<event_base, base_deleter> base_;
};

} // namespace goldcrestwell

#endif
