#ifndef GOLDCRESTWELL_SHELL_EVENT_LOOP_HPP
#define GOLDCRESTWELL_SHELL_EVENT_LOOP_HPP

#include "goldcrestwell/core/common/time.hpp"

#include <functional>
#include <memory>

struct event_base;

namespace goldcrestwell {

/** @brief The only loop of the process; every socket, timer and signal is served by it. */
class event_loop {
public:
    event_loop();

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
