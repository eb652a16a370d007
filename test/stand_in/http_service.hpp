#ifndef GOLDCRESTWELL_TEST_STAND_IN_HTTP_SERVICE_HPP
#define GOLDCRESTWELL_TEST_STAND_IN_HTTP_SERVICE_HPP

#include <event2/event.h>
#include <event2/http.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrestwell::test {

/** @brief Parameters of a query string or a form body. */
using parameters = std::map<std::string, std::string, std::less<>>;

/** @brief Parts of an HTTP request that the simulated programs use. */
struct http_input {
    evhttp_cmd_type method{};
    std::string path;
    /** @brief Parameters of the query, and of the body if the method is POST. */
    parameters query;
    std::string body;
    std::string request_id;
};

/** @brief Event loop of libevent with an HTTP listener on loopback, timers, and handlers for SIGTERM and SIGINT. */
class http_service {
public:
    using handler = std::function<void(evhttp_request*, const http_input&)>;

    /**
     * @param port Port on 127.0.0.1.
     * @param handle Called for each request; must reply or drop, immediately or later.
     * @param terminate Called on SIGTERM and SIGINT; must call `stop`, immediately or later.
     */
    http_service(std::uint16_t port, handler handle, std::function<void()> terminate);

    /** @brief Checks whether the port was bound. */
    [[nodiscard]] bool ready() const noexcept { return bound_; }
    void run();
    void stop();

    /** @brief Calls a function once after a delay. */
    void call_after(std::chrono::milliseconds delay, std::function<void()> action);

    [[nodiscard]] event_base* base() noexcept { return base_.get(); }

    static void reply(evhttp_request* request, int status, std::string_view body,
                      const char* content_type = "text/plain");
    /** @brief Closes the connection of a request without a response. */
    static void drop(evhttp_request* request);
    /** @brief Sends a response whose Content-Length is larger than its body, then closes the connection. */
    void reply_truncated(evhttp_request* request, std::string_view body);

private:
    struct timer {
        http_service* owner;
        std::uint64_t number;
        std::function<void()> action;
        std::unique_ptr<event, decltype(&event_free)> handle{nullptr, event_free};
    };

    static void on_request(evhttp_request* request, void* self);
    static void on_signal(evutil_socket_t, short, void* self);
    static void on_timer(evutil_socket_t, short, void* entry);

    handler handle_;
    std::function<void()> terminate_;
    std::unique_ptr<event_base, decltype(&event_base_free)> base_;
    std::unique_ptr<evhttp, decltype(&evhttp_free)> http_;
    std::unique_ptr<event, decltype(&event_free)> terminate_signal_;
    std::unique_ptr<event, decltype(&event_free)> interrupt_signal_;
    std::map<std::uint64_t, timer> timers_;
    std::uint64_t next_timer_{};
    bool bound_{};
};

/** @brief Returns a number from the parameters, or the fallback if it is absent or malformed. */
[[nodiscard]] std::uint64_t number_or(const parameters& values, std::string_view name, std::uint64_t fallback);

} // namespace goldcrestwell::test

#endif
