#ifndef GOLDCRESTWELL_SHELL_CALLER_LISTENER_HPP
#define GOLDCRESTWELL_SHELL_CALLER_LISTENER_HPP

#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/call_result.hpp"
#include "goldcrestwell/core/node/fwd.hpp"
#include "goldcrestwell/shell/caller_server.hpp"
#include "goldcrestwell/shell/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <optional>

namespace goldcrestwell {

/** @brief Options of the listener for callers. */
struct caller_listener_options {
    caller_server_options server;
    /** @brief Converts a request to a call; returns nothing if a Goldcrestwell header has an invalid value. */
    std::function<std::optional<call_request>(const http_exchange& exchange)> to_call;
    /** @brief Converts the result of a call to an HTTP response. */
    std::function<http_response(const call_result& result)> to_response;
};

/** @brief Passes callers' HTTP requests to the node as calls and sends the results as HTTP responses. */
class caller_listener {
public:
    caller_listener(event_loop& loop, node& core, caller_listener_options options);

    [[nodiscard]] bool start() { return server_.start(); }
    void set_limits(const caller_limits& limits) { server_.set_limits(limits); }
    void close_connections() { server_.close_connections(); }
    void stop_accepting() { server_.stop_accepting(); }
    [[nodiscard]] bool reclaim(const memory_use use) { return server_.reclaim(use); }
    [[nodiscard]] std::size_t in_progress() const noexcept { return server_.in_progress(); }

private:
    void serve(const std::shared_ptr<http_exchange>& exchange);

    event_loop& loop_;
    node& core_;
    caller_listener_options options_;
    caller_server server_;
};

} // namespace goldcrestwell

#endif
