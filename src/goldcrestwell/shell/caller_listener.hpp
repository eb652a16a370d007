#ifndef GOLDCRESTWELL_SHELL_CALLER_LISTENER_HPP
#define GOLDCRESTWELL_SHELL_CALLER_LISTENER_HPP

#include "goldcrestwell/core/node/fwd.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_server.hpp"

#include <chrono>

namespace goldcrestwell {

/** @brief Options of the listener for callers. */
struct caller_listener_options {
    http_server_options server;
    /** @brief Time-out of a request without the time-out header. */
    std::chrono::milliseconds default_timeout{10'000};
};

/** @brief Turns callers' HTTP requests into calls of the node and results into HTTP answers. */
class caller_listener {
public:
    caller_listener(event_loop& loop, node& core, caller_listener_options options);

    [[nodiscard]] bool start() { return server_.start(); }
    void stop_accepting() { server_.stop_accepting(); }
    [[nodiscard]] std::size_t in_progress() const noexcept { return server_.in_progress(); }

private:
    void serve(const std::shared_ptr<http_exchange>& exchange);

    event_loop& loop_;
    node& core_;
    std::chrono::milliseconds default_timeout_;
    http_server server_;
};

} // namespace goldcrestwell

#endif
