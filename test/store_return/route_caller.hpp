#ifndef GOLDCRESTWELL_TEST_STORE_RETURN_ROUTE_CALLER_HPP
#define GOLDCRESTWELL_TEST_STORE_RETURN_ROUTE_CALLER_HPP

#include "goldcrestwell/shell/http_connection.hpp"
#include "goldcrestwell/shell/timer.hpp"
#include "store_return/routed_call.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace goldcrestwell::test {

/** @brief Options of a `route_caller`. */
struct route_caller_options {
    std::size_t host{};
    std::uint16_t port{};
    std::string target;
    std::chrono::milliseconds pause{40};
    std::function<void(const routed_call& call)> on_call;
};

/** @brief Caller that repeats an idempotent call over one connection. */
class route_caller {
public:
    route_caller(event_loop& loop, route_caller_options options);

private:
    void start_call();
    void on_result(const upstream_result& result, steady_time started);

    event_loop& loop_;
    route_caller_options options_;
    std::unique_ptr<http_connection> connection_;
    std::uint64_t last_request_number_{};
    timer next_call_timer_;
};

} // namespace goldcrestwell::test

#endif
