#include "goldcrestwell/shell/http_server.hpp"

#include "goldcrestwell/shell/http_connection.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;

namespace {

constexpr std::uint16_t port = 27'801;
constexpr std::size_t max_answer_bytes = 1'000;
constexpr std::chrono::seconds give_up_after{20};

} // namespace

BOOST_AUTO_TEST_SUITE(http_listener)

// Guards against work that goes on for a caller that has closed its connection.
BOOST_AUTO_TEST_CASE(closed_connection_is_reported_while_the_request_waits) {
    event_loop loop;
    timer guard{loop, [&loop](time_sample) {
                    loop.stop();
                }};
    guard.arm_after(give_up_after);
    http_connection caller{loop, {.address = "127.0.0.1", .port = port}, max_answer_bytes};
    bool gone = false;
    http_server server{loop, {.port = port, .on_request = [&](const std::shared_ptr<http_exchange>& exchange) {
                                  exchange->on_gone([&] {
                                      gone = true;
                                      loop.stop();
                                  });
                                  loop.defer([&caller] { caller.cancel(); });
                              }}};
    BOOST_REQUIRE(server.start());
    caller.send({.timeout = give_up_after}, [](const upstream_result&) {});
    loop.run();
    BOOST_TEST(gone);
    BOOST_TEST(server.in_progress() == 0U);
}

// Guards against an answer given after the end of the handler that does not reach the caller.
BOOST_AUTO_TEST_CASE(late_answer_reaches_the_caller) {
    event_loop loop;
    timer guard{loop, [&loop](time_sample) {
                    loop.stop();
                }};
    guard.arm_after(give_up_after);
    http_server server{loop, {.port = port + 1, .on_request = [&](const std::shared_ptr<http_exchange>& exchange) {
                                  loop.defer([exchange] { exchange->reply({.status = 202, .body = "later"}); });
                              }}};
    BOOST_REQUIRE(server.start());
    http_connection caller{loop, {.address = "127.0.0.1", .port = port + 1}, max_answer_bytes};
    upstream_result received;
    caller.send({.timeout = give_up_after}, [&](const upstream_result& result) {
        received = result;
        loop.stop();
    });
    loop.run();
    BOOST_TEST(received.response.status == 202U);
    BOOST_TEST(received.response.body == "later");
}

BOOST_AUTO_TEST_SUITE_END()
