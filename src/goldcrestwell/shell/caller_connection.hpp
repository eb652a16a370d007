#ifndef GOLDCRESTWELL_SHELL_CALLER_CONNECTION_HPP
#define GOLDCRESTWELL_SHELL_CALLER_CONNECTION_HPP

#include "goldcrestwell/core/common/memory_reservation.hpp"
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
    /** @brief Budget for requests; if null, only the limits apply. */
    std::shared_ptr<memory_budget> memory;
    /** @brief Memory reserved for the connection itself. */
    memory_reservation connection_memory;
    std::function<void(const std::shared_ptr<http_exchange>&)> on_request;
    /** @brief Called when a request is refused before it is complete; may be empty. */
    std::function<void(http_parser_fault fault)> on_refused;
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

    /** @brief Returns the time since which the connection is without a request, or nothing if it has one. */
    [[nodiscard]] std::optional<steady_time> idle_since() const;
    /** @brief Returns the start of an incomplete request or unread response, if nothing else is in progress. */
    [[nodiscard]] std::optional<steady_time> incomplete_since() const;
    /** @brief Returns the last time at which bytes of a request arrived or bytes of a response were written. */
    [[nodiscard]] steady_time last_progress() const noexcept { return last_progress_; }
    /** @brief Checks whether the last response was sent and the connection waits for the caller to close it. */
    [[nodiscard]] bool lingering() const noexcept { return lingering_; }
    /** @brief Refuses an incomplete request and releases its memory; closes the connection if there is none. */
    void abandon();
    /** @brief Closes the connection at once. */
    void close();

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

    void install_callbacks();
    void on_readable();
    void on_written();
    void on_disconnected();
    void on_timeout();
    /** @brief Feeds received bytes to the parser; returns false if reading has to stop. */
    [[nodiscard]] bool read_request();
    void serve(http_message message);
    void refuse(http_parser_fault fault);
    void reject(std::uint32_t status);
    void flush();
    void write(const pending_response& pending, bool last);
    void finish_writing();
    void resume_reading();
    void schedule_timeout();
    [[nodiscard]] std::optional<steady_time> deadline() const;
    [[nodiscard]] std::size_t unwritten_bytes() const;
    /** @brief Checks whether the limits on pending requests and unwritten responses allow another request. */
    [[nodiscard]] bool accepts_requests() const;

    event_loop& loop_;
    caller_connection_options options_;
    http_message_parser parser_;
    timer timeout_;
    std::deque<std::shared_ptr<pending_response>> pending_;
    steady_time request_started_{};
    steady_time response_started_{};
    steady_time last_progress_{};
    std::size_t last_response_bytes_{};
    /** @brief Whether the next request is the last one. */
    bool last_request_{};
    bool reading_{true};
    bool in_read_handler_{};
    bool closing_{};
    bool lingering_{};
    bool continue_sent_{};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
    std::unique_ptr<bufferevent, handle_deleter> handle_;
};

} // namespace goldcrestwell

#endif
