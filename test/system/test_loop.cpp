#include "system/test_loop.hpp"

#include "goldcrestwell/shell/timer.hpp"

#include <csignal>

namespace goldcrestwell::test {

namespace {

constexpr std::chrono::milliseconds check_interval{50};
constexpr std::size_t max_response_bytes = std::size_t{8} << 20U;

} // namespace

test_loop::test_loop() {
    // A killed node closes connections on which the test may still write.
    std::signal(SIGPIPE, SIG_IGN);
}

void test_loop::run_for(const std::chrono::milliseconds duration) {
    timer end{loop_, [this](time_sample) {
                  loop_.stop();
              }};
    end.schedule_after(duration);
    loop_.run();
}

bool test_loop::wait_until(const std::function<bool()>& condition, const std::chrono::seconds timeout) {
    const auto end = loop_.now().steady + timeout;
    while (!condition()) {
        if (loop_.now().steady >= end) {
            return false;
        }
        run_for(check_interval);
    }
    return true;
}

upstream_result test_loop::request(const std::uint16_t port, const http_client_request& request) {
    http_connection connection{loop_, {.address = "127.0.0.1", .port = port}, max_response_bytes};
    upstream_result received;
    connection.send(request, [this, &received](const upstream_result& result) {
        received = result;
        loop_.stop();
    });
    loop_.run();
    return received;
}

} // namespace goldcrestwell::test
