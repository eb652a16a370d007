#ifndef GOLDCRESTWELL_SHELL_SIGNAL_WATCH_HPP
#define GOLDCRESTWELL_SHELL_SIGNAL_WATCH_HPP

#include "goldcrestwell/shell/event_loop.hpp"

#include <functional>
#include <memory>

struct event;

namespace goldcrestwell {

/** @brief Serves one signal in the loop. */
class signal_watch {
public:
    /**
     * @param loop Loop that serves the signal; must outlive the watch.
     * @param number Signal number.
     * @param on_signal Called in the loop, not in the signal's context.
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
