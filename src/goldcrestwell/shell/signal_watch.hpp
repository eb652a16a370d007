#ifndef GOLDCRESTWELL_SHELL_SIGNAL_WATCH_HPP
#define GOLDCRESTWELL_SHELL_SIGNAL_WATCH_HPP

#include "goldcrestwell/shell/event_loop.hpp"

#include <functional>
#include <memory>

struct event;

namespace goldcrestwell {

/** @brief Handles a signal in the event loop. */
class signal_watch {
public:
    /**
     * @param loop Event loop; must outlive this object.
     * @param number Signal number.
     * @param on_signal Called from the loop, not in signal context.
     */
    signal_watch(event_loop& loop, int number, std::function<void()> on_signal);

private:
    struct event_deleter {
        void operator()(event* handle) const noexcept;
    };

    std::function<void()> on_signal_;
    std::unique_ptr<event, event_deleter> handle_;
};

} // namespace goldcrestwell

#endif
