#ifndef GOLDCRESTWELL_SHELL_HTTP_SERVER_HPP
#define GOLDCRESTWELL_SHELL_HTTP_SERVER_HPP

#include "goldcrestwell/shell/caller_server.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_exchange.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace goldcrestwell {

/** @brief Address and limits of a listener. */
struct http_server_options {
    std::string address{"127.0.0.1"};
    std::uint16_t port{};
    /** @brief Maximum number of open connections. */
    std::size_t max_connections{2'000};
    std::size_t max_header_bytes{16384};
    std::size_t max_body_bytes{1U << 20U};
    /** @brief Maximum time without progress on a connection. */
    std::chrono::milliseconds idle_timeout{60'000};
    /** @brief Budget for connections and requests; if null, only the limits apply. */
    std::shared_ptr<memory_budget> memory;
    /** @brief Called with each complete request. */
    std::function<void(const std::shared_ptr<http_exchange>&)> on_request;
};

/** @brief HTTP listener for operators, the platform and the upstream. */
class http_server {
public:
    /** @param loop Event loop that runs the listener; must outlive it. */
    http_server(event_loop& loop, http_server_options options);

    /**
     * @brief Binds the socket and starts accepting connections.
     * @return True if the socket could be bound.
     */
    [[nodiscard]] bool start() { return server_.start(); }

    /** @brief Stops accepting connections; requests in progress continue. */
    void stop_accepting() { server_.stop_accepting(); }

    /** @brief Returns the number of requests that wait for a response. */
    [[nodiscard]] std::size_t in_progress() const noexcept { return server_.in_progress(); }

private:
    caller_server server_;
};

} // namespace goldcrestwell

#endif
