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
    /** @brief Maximum time without progress on a connection. */
    std::chrono::milliseconds idle_timeout{60'000};
    /** @brief Called with each complete request. */
    std::function<void(const std::shared_ptr<http_exchange>&)> on_request;
};

/** @brief HTTP listener. */
class http_server {
public:
    /** @param loop Event loop that runs the listener; must outlive it. */
    http_server(event_loop& loop, http_server_options options);

    /**
     * @brief Binds the socket and starts accepting connections.
     * @return True if the socket could be bound.
     */
    [[nodiscard]] bool start();

    /** @brief Stops accepting connections; requests in progress continue. */
    void stop_accepting();

    /** @brief Returns the number of requests that wait for a response. */
    [[nodiscard]] std::size_t in_progress() const noexcept { return active_.size(); }

private:
    struct http_deleter {
        void operator()(evhttp* handle) const noexcept;
    };

    struct event_deleter {
        void operator()(event* handle) const noexcept;
    };
    /** @brief Request that waits for its response, and the event that fires if the caller closes the connection. */
    struct waiting_request {
        std::shared_ptr<http_exchange> exchange;
        std::unique_ptr<event, event_deleter> close_watch;
    };

    void serve(evhttp_request* request);
    [[nodiscard]] std::unique_ptr<event, event_deleter> watch_for_close(evhttp_connection* connection);
    void on_closed(evhttp_connection* connection);

    event_loop& loop_;
    http_server_options options_;
    std::unordered_map<evhttp_connection*, waiting_request> active_;
    evhttp_bound_socket* socket_{};
    std::unique_ptr<evhttp, http_deleter> handle_;
};

} // namespace goldcrestwell

#endif
