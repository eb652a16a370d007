#ifndef GOLDCRESTWELL_SHELL_STREAM_LISTENER_HPP
#define GOLDCRESTWELL_SHELL_STREAM_LISTENER_HPP

#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <functional>
#include <memory>

struct evconnlistener;

namespace goldcrestwell {

/** @brief Listening TCP socket. */
class stream_listener {
public:
    /** @param on_accept Called with each accepted socket, which it must close. */
    stream_listener(event_loop& loop, endpoint address, std::function<void(int descriptor)> on_accept);

    /** @brief Binds the socket and starts accepting; returns false if the socket could not be bound. */
    [[nodiscard]] bool start();
    /** @brief Closes the listening socket. */
    void stop();

private:
    struct listener_deleter {
        void operator()(evconnlistener* handle) const noexcept;
    };

    void pause();

    event_loop& loop_;
    endpoint address_;
    std::function<void(int descriptor)> on_accept_;
    timer resume_timer_;
    std::unique_ptr<evconnlistener, listener_deleter> handle_;
};

} // namespace goldcrestwell

#endif
