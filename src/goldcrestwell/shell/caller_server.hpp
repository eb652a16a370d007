#ifndef GOLDCRESTWELL_SHELL_CALLER_SERVER_HPP
#define GOLDCRESTWELL_SHELL_CALLER_SERVER_HPP

#include "goldcrestwell/core/common/memory_use.hpp"
#include "goldcrestwell/core/message/caller_limits.hpp"
#include "goldcrestwell/shell/caller_connection.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/stream_listener.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace goldcrestwell {

/** @brief Address, limits and hooks of the listener for callers. */
struct caller_server_options {
    std::string address{"127.0.0.1"};
    std::uint16_t port{};
    /** @brief Maximum number of open connections; a new one then replaces one without a complete request, if any. */
    std::size_t max_connections{2'000};
    caller_limits limits;
    /** @brief Budget for connections and requests; if null, only the limits apply. */
    std::shared_ptr<memory_budget> memory;
    /** @brief Called with each complete request, also while earlier requests of its connection wait for responses. */
    std::function<void(const std::shared_ptr<http_exchange>&)> on_request;
    /** @brief Called when a request is refused before it is complete; may be empty. */
    std::function<void(http_parser_fault fault)> on_refused;
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

    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /**
     * @brief Binds the socket and starts accepting connections.
     * @return True if the socket could be bound.
     */
    [[nodiscard]] bool start() { return listener_.start(); }
    /** @brief Sets the limits of open and new connections, for data read from now on. */
    void set_limits(const caller_limits& limits);
    /** @brief Closes each connection after its pending responses; still accepts new connections. */
    void close_connections();
    void stop_accepting() { listener_.stop(); }
    /**
     * @brief Abandons an incomplete request or an unread response, or closes an idle connection, to release memory.
     * @return False if no connection can be abandoned for the use.
     */
    [[nodiscard]] bool reclaim(memory_use use);
    /** @brief Returns the number of requests without a response and of responses that are not fully written. */
    [[nodiscard]] std::size_t in_progress() const noexcept;

private:
    using connection_map = std::map<std::uint64_t, std::unique_ptr<caller_connection>>;

    void accept(int descriptor);
    /** @brief Closes a connection that has no complete request; returns false if there is none. */
    [[nodiscard]] bool replace_connection();
    /** @brief Returns the connection with the earliest time up to a limit, or null if there is none. */
    [[nodiscard]] caller_connection*
    find_oldest(const std::function<std::optional<steady_time>(const caller_connection& connection)>& time_of,
                steady_time limit) const;
    void remove_connection(std::uint64_t connection_number);

    event_loop& loop_;
    caller_server_options options_;
    connection_map connections_;
    std::uint64_t last_connection_number_{};
    bool closing_{};
    stream_listener listener_;
};

} // namespace goldcrestwell

#endif
