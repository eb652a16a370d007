#include "goldcrestwell/shell/http_server.hpp"

#include "goldcrestwell/shell/http_connection.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;

namespace {

constexpr std::uint16_t port = 27'801;
constexpr std::size_t max_response_bytes = 1'000;
constexpr std::chrono::seconds test_timeout{20};

} // namespace

BOOST_AUTO_TEST_SUITE(http_listener)

// Guards against work that continues for a caller that has closed its connection.
BOOST_AUTO_TEST_CASE(closed_connection_is_reported_while_the_request_waits) {
    event_loop loop;
    timer guard{loop, [&loop](time_sample) {
                    loop.stop();
                }};
    guard.schedule_after(test_timeout);
    http_connection caller{loop, {.address = "127.0.0.1", .port = port}, max_response_bytes};
    bool disconnected = false;
    http_server server{loop, {.port = port, .on_request = [&](const std::shared_ptr<http_exchange>& exchange) {
                                  exchange->on_disconnect([&] {
                                      disconnected = true;
                                      loop.stop();
                                  });
                                  loop.defer([&caller] { caller.cancel(); });
                              }}};
    BOOST_REQUIRE(server.start());
    caller.send({.timeout = test_timeout}, [](const upstream_result&) {});
    loop.run();
    BOOST_TEST(disconnected);
    BOOST_TEST(server.in_progress() == 0U);
}

// Guards against losing a response that is sent after the request handler has returned.
BOOST_AUTO_TEST_CASE(deferred_response_reaches_the_caller) {
    event_loop loop;
    timer guard{loop, [&loop](time_sample) {
                    loop.stop();
                }};
    guard.schedule_after(test_timeout);
    http_server server{loop, {.port = port + 1, .on_request = [&](const std::shared_ptr<http_exchange>& exchange) {
                                  loop.defer([exchange] { exchange->reply({.status = 202, .body = "later"}); });
                              }}};
    BOOST_REQUIRE(server.start());
    http_connection caller{loop, {.address = "127.0.0.1", .port = port + 1}, max_response_bytes};
    upstream_result received;
    caller.send({.timeout = test_timeout}, [&](const upstream_result& result) {
        received = result;
        loop.stop();
    });
    loop.run();
    BOOST_TEST(received.response.status == 202U);
    BOOST_TEST(received.response.body == "later");
}

BOOST_AUTO_TEST_SUITE_END()
