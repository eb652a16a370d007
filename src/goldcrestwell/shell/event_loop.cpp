#include "goldcrestwell/shell/event_loop.hpp"

#include <event2/event.h>

#include <csignal>
#include <new>

namespace goldcrestwell {

namespace {

using task_type = std::function<void()>;

void run_task(evutil_socket_t /*unused*/, short /*unused*/, void* argument) {
    const std::unique_ptr<task_type> task{static_cast<task_type*>(argument)};
    (*task)();
}

event_base* new_base(const timer_precision precision) {
    const std::unique_ptr<event_config, decltype(&event_config_free)> config{event_config_new(), &event_config_free};
    if (config && precision == timer_precision::microseconds) {
        event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    }
    return config ? event_base_new_with_config(config.get()) : nullptr;
}

} // namespace

void event_loop::base_deleter::operator()(event_base* base) const noexcept {
    event_base_free(base);
}

event_loop::event_loop(const timer_precision precision) : base_{new_base(precision)} {
    if (!base_) {
        throw std::bad_alloc{};
    }
    // Writing to a connection that the peer has closed raises SIGPIPE; the write call reports the error anyway.
    std::signal(SIGPIPE, SIG_IGN);
}

time_sample event_loop::now() const {
    return {.steady = std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::steady_clock::now()),
            .wall = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now())};
}

void event_loop::run() {
    event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop() {
    event_base_loopbreak(base_.get());
}

void event_loop::defer(std::function<void()> task) {
    constexpr timeval no_delay{};
    auto owned_task = std::make_unique<task_type>(std::move(task));
    if (event_base_once(base_.get(), -1, EV_TIMEOUT, run_task, owned_task.get(), &no_delay) == 0) {
        static_cast<void>(owned_task.release());
    }
}

} // namespace goldcrestwell
