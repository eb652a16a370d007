#ifndef GOLDCRESTWELL_SHELL_UPSTREAM_CLIENT_HPP
#define GOLDCRESTWELL_SHELL_UPSTREAM_CLIENT_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/upstream_result.hpp"
#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_connection.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace goldcrestwell {

/** @brief Limits and hooks of the client. */
struct upstream_client_options {
    std::size_t max_answer_bytes{std::size_t{8} << 20U};
    /** @brief Connections to the upstream, if it announces more. */
    std::size_t max_connections{130};
    /** @brief A connection idle for this long is not used again, because the upstream may be about to close it. */
    std::chrono::milliseconds reuse_limit{4'000};
    /** @brief Longest time to open a connection; zero leaves it to the time left. */
    std::chrono::milliseconds connect_timeout{};
    /** @brief An answer without a length that ends with an orderly close is whole. */
    bool accept_unframed{};
    /** @brief Headers of a request to the upstream. */
    std::function<std::vector<http_header>(const call_request& call, std::chrono::milliseconds timeout)> headers;
    /** @brief What an answer says about the request; empty takes every answer as one. */
    std::function<upstream_outcome(const call_request& call, const http_response& answer)> judge;
    std::function<void(const attempt_id& id, const upstream_result& result)> on_result;
};

/** @brief Sends calls to the upstream beside the node over a pool of connections. */
class upstream_client {
public:
    upstream_client(event_loop& loop, upstream_client_options options);

    /** @brief Sets where the upstream listens and how many connections it accepts. */
    void set_upstream(const endpoint& address, std::size_t max_connections);

    /** @brief Closes the idle connections, because another upstream may answer at the address now. */
    void forget_connections() { idle_.clear(); }

    /** @brief Sends a call; the result comes by the hook, `not_sent` if there is no upstream or no connection left. */
    void start(const attempt_id& id, const call_request& call, std::chrono::milliseconds timeout);

    /** @brief Gives up a call and closes its connection; its result comes by the hook as `reset`. */
    void abort(const attempt_id& id);

    [[nodiscard]] std::size_t connections() const noexcept { return active_.size() + idle_.size(); }

private:
    struct idle_connection {
        std::unique_ptr<http_connection> connection;
        steady_time since;
    };

    [[nodiscard]] std::unique_ptr<http_connection> take_connection();
    [[nodiscard]] upstream_result judged(const call_request& call, const upstream_result& result) const;
    void finish(const attempt_id& id, const upstream_result& result);
    void drop_stale(steady_time now);

    event_loop& loop_;
    upstream_client_options options_;
    endpoint address_;
    std::size_t max_connections_{};
    std::map<attempt_id, std::unique_ptr<http_connection>> active_;
    std::vector<idle_connection> idle_;
};

} // namespace goldcrestwell

#endif
