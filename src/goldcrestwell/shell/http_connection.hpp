#ifndef GOLDCRESTWELL_SHELL_HTTP_CONNECTION_HPP
#define GOLDCRESTWELL_SHELL_HTTP_CONNECTION_HPP

#include "goldcrestwell/core/message/upstream_result.hpp"
#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_message_parser.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;

namespace goldcrestwell {

/** @brief Request from this process to an HTTP server. */
struct http_client_request {
    std::string method{"GET"};
    std::string target{"/"};
    std::vector<http_header> headers;
    message_body body;
    std::chrono::milliseconds timeout{10'000};
};

/** @brief Limits and behaviour of a client connection. */
struct http_connection_options {
    std::size_t max_response_bytes{std::size_t{8} << 20U};
    /** @brief Budget for responses; if null, only their size limit applies. */
    std::shared_ptr<memory_budget> memory;
    /** @brief Whether responses of any size count as small uses of the budget. */
    bool counts_as_small{};
    /** @brief Accepts a response without a length as complete after an orderly close of the connection. */
    bool accept_close_delimited{};
    /** @brief Maximum time to open the connection; if zero, only the timeout of the request applies. */
    std::chrono::milliseconds connect_timeout{};
};

/**
 * @brief Client connection that handles one request at a time and is closed after any error.
 *
 * libevent's own HTTP client is not used: it reports truncated responses as complete, silently drops bytes that follow
 * a response, and takes a second response for the response to the next request.
 */
class http_connection {
public:
    using result_hook = std::function<void(const upstream_result&)>;

    /**
     * @param loop Event loop that runs the connection; must outlive it.
     * @param server Server to connect to.
     * @param max_response_bytes Maximum size of a response body.
     */
    http_connection(event_loop& loop, endpoint server, std::size_t max_response_bytes);
    http_connection(event_loop& loop, endpoint server, http_connection_options options);
    ~http_connection();

    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /** @brief Checks whether no request is in progress and the connection can be used. */
    [[nodiscard]] bool idle() const noexcept { return !busy_ && !broken_; }

    /** @brief Checks whether the connection has failed and must be replaced. */
    [[nodiscard]] bool broken() const noexcept { return broken_; }

    /** @brief Sends a request; the connection must be idle. */
    void send(const http_client_request& request, result_hook on_result);

    /** @brief Cancels the request in progress without reporting a result and closes the connection. */
    void cancel();

private:
    struct handle_deleter {
        void operator()(bufferevent* handle) const noexcept;
    };

    [[nodiscard]] bool connect();
    void write(const http_client_request& request);
    /** @brief Checks whether no byte of the request in progress has been passed to the kernel. */
    [[nodiscard]] bool is_unsent() const noexcept;
    void on_connected();
    void on_readable();
    void on_closed(bool closed_orderly);
    void on_timeout();
    void on_message(http_message message, bool has_extra_bytes);
    void fail(upstream_outcome outcome);
    void finish(upstream_result result);

    event_loop& loop_;
    endpoint server_;
    http_connection_options options_;
    http_message_parser parser_;
    timer timeout_;
    std::unique_ptr<bufferevent, handle_deleter> handle_;
    steady_time deadline_{};
    std::size_t request_bytes_{};
    bool connected_{};
    bool busy_{};
    bool broken_{};
    result_hook on_result_;
};

} // namespace goldcrestwell

#endif
