#ifndef GOLDCRESTWELL_SHELL_CALLER_SERVER_HPP
#define GOLDCRESTWELL_SHELL_CALLER_SERVER_HPP

#include "goldcrestwell/core/message/caller_limits.hpp"
#include "goldcrestwell/shell/caller_connection.hpp"
#include "goldcrestwell/shell/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct evconnlistener;

namespace goldcrestwell {

/** @brief Address, limits and hooks of the listener for callers. */
struct caller_server_options {
    std::string address{"127.0.0.1"};
    std::uint16_t port{};
    /** @brief Maximum number of open connections; further ones are closed immediately. */
    std::size_t max_connections{2'000};
    caller_limits limits;
    /** @brief Called with each complete request, also while earlier requests of its connection wait for responses. */
    std::function<void(const std::shared_ptr<http_exchange>&)> on_request;
};

/**
 * @brief HTTP listener that serves the requests of a connection concurrently and sends responses in order.
 *
 * libevent's own server reads a pipelined request only after it has sent the previous response, so each request would
 * wait for all earlier ones.
 */
class caller_server {
public:
    caller_server(event_loop& loop, caller_server_options options);
    ~caller_server();

    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /**
     * @brief Binds the socket and starts accepting connections.
     * @return True if the socket could be bound.
     */
    [[nodiscard]] bool start();
    /** @brief Sets the limits of open and new connections, for data read from now on. */
    void set_limits(const caller_limits& limits);
    /** @brief Closes each connection after its pending responses; still accepts new connections. */
    void close_connections();
    void stop_accepting();
    /** @brief Returns the number of requests without a response and of responses that are not fully written. */
    [[nodiscard]] std::size_t in_progress() const noexcept;

private:
    struct listener_deleter {
        void operator()(evconnlistener* handle) const noexcept;
    };

    void accept(int descriptor);
    void remove_connection(std::uint64_t connection_number);

    event_loop& loop_;
    caller_server_options options_;
    std::map<std::uint64_t, std::unique_ptr<caller_connection>> connections_;
    std::uint64_t last_connection_number_{};
    bool closing_{};
    std::unique_ptr<evconnlistener, listener_deleter> listener_;
};

} // namespace goldcrestwell

#endif
