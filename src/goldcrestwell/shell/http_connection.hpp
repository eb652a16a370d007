#ifndef GOLDCRESTWELL_SHELL_HTTP_CONNECTION_HPP
#define GOLDCRESTWELL_SHELL_HTTP_CONNECTION_HPP

#include "goldcrestwell/core/message/upstream_result.hpp"
#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/event_loop.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace goldcrestwell {

/** @brief A request of this process to an HTTP server. */
struct http_client_request {
    std::string method{"GET"};
    std::string target{"/"};
    std::vector<http_header> headers;
    std::string body;
    std::chrono::milliseconds timeout{10'000};
};

/** @brief A client connection that carries one request at a time and is closed after any error. */
class http_connection {
public:
    using result_hook = std::function<void(const upstream_result&)>;

    /**
     * @param loop Loop that serves the connection; must outlive it.
     * @param server Server to connect to.
     * @param max_answer_bytes Longest body of an answer.
     */
    http_connection(event_loop& loop, endpoint server, std::size_t max_answer_bytes);
    ~http_connection();

    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /** @return True if no request is in progress and the connection can be used. */
    [[nodiscard]] bool idle() const noexcept { return request_ == nullptr && !broken_; }

    /** @return True if the connection failed and must be replaced. */
    [[nodiscard]] bool broken() const noexcept { return broken_; }

    /** @brief Sends a request; the connection must be idle. */
    void send(const http_client_request& request, result_hook on_result);

    /** @brief Gives up the request in progress and closes the connection; no result is reported. */
    void cancel();

private:
    struct connection_deleter {
        void operator()(evhttp_connection* handle) const noexcept;
    };

    void on_answer(evhttp_request* request);
    void finish(upstream_result result);

    event_loop& loop_;
    endpoint server_;
    std::size_t max_answer_bytes_;
    std::unique_ptr<evhttp_connection, connection_deleter> handle_;
    evhttp_request* request_{};
    bool head_request_{};
    bool headers_seen_{};
    bool broken_{};
    std::optional<upstream_outcome> error_;
    result_hook on_result_;
};

} // namespace goldcrestwell

#endif
