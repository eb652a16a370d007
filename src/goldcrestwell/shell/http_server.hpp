#ifndef GOLDCRESTWELL_SHELL_HTTP_SERVER_HPP
#define GOLDCRESTWELL_SHELL_HTTP_SERVER_HPP

#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_exchange.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

struct event;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace goldcrestwell {

/** @brief Address and limits of a listener. */
struct http_server_options {
    std::string address{"127.0.0.1"};
    std::uint16_t port{};
    std::size_t max_header_bytes{16384};
    std::size_t max_body_bytes{1U << 20U};
    /** @brief Longest time without progress on a connection. */
    std::chrono::milliseconds idle_timeout{60'000};
    /** @brief Called with each whole request. */
    std::function<void(const std::shared_ptr<http_exchange>&)> on_request;
};

/** @brief An HTTP listener. */
class http_server {
public:
    /** @param loop Loop that serves the listener; must outlive it. */
    http_server(event_loop& loop, http_server_options options);

    /** @return True if the socket could be bound. */
    [[nodiscard]] bool start();

    /** @brief Stops accepting connections; requests in progress go on. */
    void stop_accepting();

    /** @return Requests that wait for their answer. */
    [[nodiscard]] std::size_t in_progress() const noexcept { return active_.size(); }

private:
    struct http_deleter {
        void operator()(evhttp* handle) const noexcept;
    };

    struct event_deleter {
        void operator()(event* handle) const noexcept;
    };
    /** @brief A request that waits for its answer, and the watch for a caller that closes its end meanwhile. */
    struct waiting_request {
        std::shared_ptr<http_exchange> exchange;
        std::unique_ptr<event, event_deleter> close_watch;
    };

    void serve(evhttp_request* request);
    [[nodiscard]] std::unique_ptr<event, event_deleter> watch_close(evhttp_connection* connection);
    void on_closed(evhttp_connection* connection);

    event_loop& loop_;
    http_server_options options_;
    std::unordered_map<evhttp_connection*, waiting_request> active_;
    evhttp_bound_socket* socket_{};
    std::unique_ptr<evhttp, http_deleter> handle_;
};

} // namespace goldcrestwell

#endif
