#include "goldcrestwell/shell/signal_watch.hpp"

#include <event2/event.h>

namespace goldcrestwell {

void signal_watch::event_deleter::operator()(event* handle) const noexcept {
    event_free(handle);
}

signal_watch::signal_watch(event_loop& loop, const int number, std::function<void()> on_signal)
    : on_signal_{std::move(on_signal)} {
    const auto handle_signal = [](evutil_socket_t /*unused*/, short /*unused*/, void* argument) {
        static_cast<signal_watch*>(argument)->on_signal_();
    };
    handle_.reset(evsignal_new(loop.base(), number, handle_signal, this));
    event_add(handle_.get(), nullptr);
}

} // namespace goldcrestwell
