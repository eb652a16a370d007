#ifndef GOLDCRESTWELL_SHELL_TIMER_HPP
#define GOLDCRESTWELL_SHELL_TIMER_HPP

#include "goldcrestwell/shell/event_loop.hpp"

#include <chrono>
#include <functional>
#include <memory>

struct event;

namespace goldcrestwell {

/** @brief One-shot timer of the event loop. */
class timer {
public:
    using callback = std::function<void(time_sample)>;

    /**
     * @param loop Event loop; must outlive the timer.
     * @param on_expiry Called on expiry with the current time.
     */
    timer(event_loop& loop, callback on_expiry);

    /** @brief Schedules or reschedules the timer; a time in the past expires at once. */
    void schedule_at(steady_time when);

    /** @brief Schedules or reschedules the timer. */
    void schedule_after(std::chrono::microseconds delay);

    /** @brief Cancels the timer. */
    void cancel();

private:
    struct event_deleter {
        void operator()(event* handle) const noexcept;
    };

    event_loop& loop_;
    callback on_expiry_;
    std::unique_ptr<event, event_deleter> handle_;
};

} // namespace goldcrestwell

#endif
