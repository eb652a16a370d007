#include "goldcrestwell/shell/timer.hpp"

#include "goldcrestwell/shell/timeval.hpp"

#include <event2/event.h>

namespace goldcrestwell {

void timer::event_deleter::operator()(event* handle) const noexcept {
    event_free(handle);
}

timer::timer(event_loop& loop, callback on_expiry) : loop_{loop}, on_expiry_{std::move(on_expiry)} {
    const auto expire = [](evutil_socket_t /*unused*/, short /*unused*/, void* argument) {
        auto& self = *static_cast<timer*>(argument);
        self.on_expiry_(self.loop_.now());
    };
    handle_.reset(event_new(loop_.base(), -1, 0, expire, this));
}

void timer::schedule_at(const steady_time when) {
    schedule_after(when - loop_.now().steady);
}

void timer::schedule_after(const std::chrono::microseconds delay) {
    const auto wait = to_timeval(delay);
    event_add(handle_.get(), &wait);
}

void timer::cancel() {
    event_del(handle_.get());
}

} // namespace goldcrestwell
