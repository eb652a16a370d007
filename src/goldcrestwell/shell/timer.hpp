#ifndef GOLDCRESTWELL_SHELL_TIMER_HPP
#define GOLDCRESTWELL_SHELL_TIMER_HPP

#include "goldcrestwell/shell/event_loop.hpp"

#include <chrono>
#include <functional>
#include <memory>

struct event;

namespace goldcrestwell {

/** @brief A one-shot timer of the loop. */
class timer {
public:
    using callback = std::function<void(time_sample)>;

    /**
     * @param loop Loop that serves the timer; must outlive it.
     * @param on_expiry Called with the time at which the loop serves the timer.
     */
    timer(event_loop& loop, callback on_expiry);

    /** @brief Arms or re-arms the timer; a time in the past expires at once. */
    void arm_at(steady_time when);

    /** @brief Arms or re-arms the timer. */
    void arm_after(std::chrono::microseconds delay);

    /** @brief Disarms the timer. */
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
