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
    milliseconds, /**< Timers expire up to some milliseconds late; needs the fewest wake-ups and system calls. */
    microseconds  /**< For measurements that must start calls at their scheduled times. */
};

/** @brief Event loop of the process; handles all sockets, timers and signals on one thread. */
class event_loop {
public:
    explicit event_loop(timer_precision precision = timer_precision::milliseconds);

    /** @brief Returns the libevent base, for use within this folder. */
    [[nodiscard]] event_base* base() const noexcept { return base_.get(); }

    /** @brief Returns the current steady and wall-clock time. */
    [[nodiscard]] time_sample now() const;

    /** @brief Handles events until `stop` is called. */
    void run();

    /** @brief Makes `run` return after the current event handler. */
    void stop();

    /** @brief Schedules a task to run after the current event handler, to avoid re-entrant calls. */
    void defer(std::function<void()> task);

private:
    struct base_deleter {
        void operator()(event_base* base) const noexcept;
    };

    std::unique_ptr<event_base, base_deleter> base_;
};

} // namespace goldcrestwell

#endif
