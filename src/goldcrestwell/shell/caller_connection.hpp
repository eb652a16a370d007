#ifndef GOLDCRESTWELL_SHELL_CALLER_CONNECTION_HPP
#define GOLDCRESTWELL_SHELL_CALLER_CONNECTION_HPP

#include "goldcrestwell/core/message/caller_limits.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_exchange.hpp"
#include "goldcrestwell/shell/http_message_parser.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

struct bufferevent;

namespace goldcrestwell {

/** @brief Limits and hooks of a caller connection. */
struct caller_connection_options {
    caller_limits limits;
    std::function<void(const std::shared_ptr<http_exchange>&)> on_request;
    /** @brief Called when the connection has closed; must defer destroying the connection object. */
    std::function<void()> on_closed;
};

/** @brief Connection from a caller; serves requests concurrently and sends responses in request order. */
class caller_connection {
public:
    caller_connection(event_loop& loop, int descriptor, caller_connection_options options);
    ~caller_connection();

    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    void set_limits(const caller_limits& limits);
    /** @brief Closes the connection now if nothing is in progress, otherwise after the last pending response. */
    void close_after_response();
    /** @brief Closes the connection after the next request. */
    void close_after_next_request() noexcept { last_request_ = true; }
    [[nodiscard]] std::size_t in_progress() const noexcept;

private:
    struct handle_deleter {
        void operator()(bufferevent* handle) const noexcept;
    };
    /** @brief Request that waits for its response, or a response that waits for earlier ones to be sent. */
    struct pending_response {
        std::shared_ptr<http_exchange> exchange;
        std::optional<http_response> response;
        bool keep_alive{};
        bool head_request{};
    };

    void on_readable();
    void on_written();
    void on_disconnected();
    void on_timeout();
    void serve(http_message message);
    void reject(std::uint32_t status);
    void flush();
    void write(const pending_response& pending, bool last);
    void finish_writing();
    void schedule_idle_timeout();
    void close();

    event_loop& loop_;
    caller_connection_options options_;
    http_message_parser parser_;
    timer timeout_;
    std::deque<std::shared_ptr<pending_response>> pending_;
    /** @brief Whether the next request is the last one. */
    bool last_request_{};
    bool reading_{true};
    bool closing_{};
    bool lingering_{};
    bool continue_sent_{};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
    std::unique_ptr<bufferevent, handle_deleter> handle_;
};

} // namespace goldcrestwell

#endif
