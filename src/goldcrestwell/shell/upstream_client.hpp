#ifndef GOLDCRESTWELL_SHELL_UPSTREAM_CLIENT_HPP
#define GOLDCRESTWELL_SHELL_UPSTREAM_CLIENT_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/common/memory_reservation.hpp"
#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/upstream_result.hpp"
#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_connection.hpp"
#include "goldcrestwell/shell/response_verdict.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestwell {

/** @brief Limits and hooks of an upstream client. */
struct upstream_client_options {
    std::size_t max_response_bytes{std::size_t{8} << 20U};
    /** @brief Maximum number of connections, even if the upstream announces more. */
    std::size_t max_connections{130};
    /** @brief Budget for connections and responses; if null, only the limits apply. */
    std::shared_ptr<memory_budget> memory;
    /** @brief Maximum idle time of a reused connection; after a longer time the upstream may be closing it. */
    std::chrono::milliseconds max_idle_time{4'000};
    /** @brief Maximum time to open a connection; if zero, only the timeout of the attempt applies. */
    std::chrono::milliseconds connect_timeout{};
    /** @brief Accepts a response without a length as complete after an orderly close of the connection. */
    bool accept_close_delimited{};
    /** @brief Returns the headers of a request to the upstream. */
    std::function<std::vector<http_header>(const call_request& call, std::chrono::milliseconds timeout)> headers;

    /** @brief Returns the meaning of a response; if empty, every response counts as `answered`. */
    std::function<response_verdict(const call_request& call, const http_response& response)> classify_response;
    std::function<void(const attempt_id& id, const upstream_result& result)> on_result;
    /** @brief Called when another upstream than the expected one has answered; may be empty. */
    std::function<void()> on_misdirected;
};

/**
 * @brief Sends calls to the local upstream over a pool of connections.
 *
 * A faulty upstream may send a refusal once more, in place of the response to the next request. The copy must not be
 * taken for a refusal of that request, so a connection is not used again for a request that was refused on it, nor
 * after a refusal that does not name its request.
 */
class upstream_client {
public:
    upstream_client(event_loop& loop, upstream_client_options options);

    /** @brief Sets the address of the upstream and the number of connections that it accepts. */
    void set_upstream(const endpoint& address, std::size_t max_connections);

    /** @brief Closes the idle connections, because another upstream may now use the address. */
    void close_idle_connections() { idle_.clear(); }

    /** @brief Sends a call; the hook receives its result, `not_sent` without an upstream or a free connection. */
    void start(const attempt_id& id, const call_request& call, std::chrono::milliseconds timeout);

    /** @brief Cancels an attempt, closes its connection and reports `reset` to the hook. */
    void abort(const attempt_id& id);

    [[nodiscard]] std::size_t connections() const noexcept { return active_.size() + idle_.size(); }

private:
    struct pooled_connection {
        std::unique_ptr<http_connection> connection;
        memory_reservation memory;
        /** @brief Ids of the requests that were refused on this connection. */
        std::vector<std::string> refused_ids;
        steady_time idle_since{};
    };

    /** @return A connection for a request, or one without a handle if there is none. */
    [[nodiscard]] pooled_connection take_connection(const std::string& request_id);
    [[nodiscard]] response_verdict judge(const call_request& call, const upstream_result& result) const;
    void on_response(const attempt_id& id, const call_request& call, const upstream_result& result);
    void close_stale_connections(steady_time now);

    event_loop& loop_;
    upstream_client_options options_;
    endpoint address_;
    std::size_t max_connections_{};
    std::map<attempt_id, pooled_connection> active_;
    std::vector<pooled_connection> idle_;
};

} // namespace goldcrestwell

#endif
