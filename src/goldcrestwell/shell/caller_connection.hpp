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

/** @brief Limits and hooks of a connection from a caller. */
struct caller_connection_options {
    caller_limits limits;
    std::function<void(const std::shared_ptr<http_exchange>&)> on_request;
    /** @brief The connection has ended; may remove the object from its owner but not destroy it at once. */
    std::function<void()> on_closed;
};

/** @brief A connection from a caller: requests are served as they come, answers leave in the order of the requests. */
class caller_connection {
public:
    caller_connection(event_loop& loop, int descriptor, caller_connection_options options);
    ~caller_connection();

    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    void set_limits(const caller_limits& limits);
    /** @brief Closes at once if nothing is in progress, else behind the last answer that is due. */
    void close_when_answered();
    /** @brief Serves one more request and then closes. */
    void close_after_next() noexcept { last_request_ = true; }
    [[nodiscard]] std::size_t in_progress() const noexcept;

private:
    struct handle_deleter {
        void operator()(bufferevent* handle) const noexcept;
    };
    /** @brief A request that waits for its answer, or an answer that waits for its turn. */
    struct pending_answer {
        std::shared_ptr<http_exchange> exchange;
        std::optional<http_response> response;
        bool keep_alive{};
        bool head_request{};
    };

    void on_readable();
    void on_written();
    void on_ended();
    void on_timeout();
    void serve(http_message message);
    void refuse(std::uint32_t status);
    void flush();
    void write(const pending_answer& answered, bool last);
    void finish_writing();
    void arm_idle();
    void close();

    event_loop& loop_;
    caller_connection_options options_;
    http_message_parser parser_;
    timer timeout_;
    std::deque<std::shared_ptr<pending_answer>> pending_;
    /** @brief No further request is read. */
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
