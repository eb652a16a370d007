#include "goldcrestwell/shell/http_connection.hpp"

#include "goldcrestwell/shell/timer.hpp"
#include "shell/canned_server.hpp"
#include "shell/loop_steps.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <thread>

using namespace goldcrestwell;
using test::canned_server;

namespace {

constexpr std::size_t max_response_bytes = 1000;
constexpr std::chrono::seconds test_timeout{20};

upstream_result request_once(event_loop& loop, const endpoint& server, const std::chrono::milliseconds timeout,
                             const std::string& method = "GET") {
    http_connection connection{loop, server, max_response_bytes};
    upstream_result received{.outcome = upstream_outcome::not_sent, .response = {.status = 1}};
    timer guard{loop, [&loop](time_sample) {
                    loop.stop();
                }};
    guard.schedule_after(test_timeout);
    connection.send({.method = method, .timeout = timeout}, [&](const upstream_result& result) {
        received = result;
        loop.stop();
    });
    loop.run();
    return received;
}

upstream_outcome outcome_of(const std::string& response_bytes, const canned_server::ending end,
                            const std::string& method = "GET") {
    event_loop loop;
    const canned_server server{loop, response_bytes, end};
    return request_once(loop, server.address(), std::chrono::milliseconds{500}, method).outcome;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_client_connection)

// Guards against a response that loses its status or a part of its body.
BOOST_AUTO_TEST_CASE(complete_response_is_reported) {
    event_loop loop;
    const canned_server server{loop, "HTTP/1.1 201 Created\r\nContent-Length: 5\r\nx-a: b\r\n\r\nhello",
                               canned_server::ending::stay_open};
    const auto result = request_once(loop, server.address(), std::chrono::seconds{5});
    BOOST_TEST((result.outcome == upstream_outcome::answered));
    BOOST_TEST(result.response.status == 201U);
    BOOST_TEST(result.response.body == "hello");
    BOOST_TEST(result.response.headers.size() == 1U);
}

// Guards against reporting a request that may have reached the upstream as not sent, and the reverse.
BOOST_AUTO_TEST_CASE(only_a_refused_connection_counts_as_not_sent) {
    event_loop loop;
    endpoint closed_port;
    {
        const canned_server server{loop, "", canned_server::ending::close};
        closed_port = server.address();
    }
    const auto result = request_once(loop, closed_port, std::chrono::seconds{5});
    BOOST_TEST((result.outcome == upstream_outcome::not_sent));
    BOOST_TEST((outcome_of("", canned_server::ending::close) == upstream_outcome::reset));
    BOOST_TEST((outcome_of("", canned_server::ending::stay_open) == upstream_outcome::timed_out));
}

// Guards against executing a request that was reported as not sent: on a slow host the connect timeout fired between
// the first write and the event that reports an open connection.
BOOST_AUTO_TEST_CASE(written_request_does_not_count_as_not_sent) {
    event_loop loop;
    const canned_server server{loop, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                               canned_server::ending::stay_open};
    http_connection connection{loop, server.address(),
                               http_connection_options{.connect_timeout = std::chrono::milliseconds{20}}};
    std::optional<upstream_outcome> outcome;
    connection.send({.timeout = std::chrono::seconds{5}},
                    [&outcome](const upstream_result& result) { outcome = result.outcome; });
    std::this_thread::sleep_for(std::chrono::milliseconds{60});
    BOOST_REQUIRE(test::run_until(loop, [&] { return outcome && server.requests() == 1; }));
    BOOST_TEST((*outcome == upstream_outcome::answered));
}

// Guards against reporting a truncated response as complete.
BOOST_AUTO_TEST_CASE(truncated_responses_are_errors) {
    const auto close = canned_server::ending::close;
    BOOST_TEST((outcome_of("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", close) == upstream_outcome::truncated));
    BOOST_TEST((outcome_of("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", close) ==
                upstream_outcome::truncated));
    BOOST_TEST((outcome_of("HTTP/1.1 200 OK\r\n\r\nhello", close) == upstream_outcome::truncated));
    BOOST_TEST((outcome_of("HTTP/1.1 2", close) != upstream_outcome::answered));
}

// Guards against reporting a response to HEAD, which has no body, as truncated.
BOOST_AUTO_TEST_CASE(response_to_head_needs_no_body) {
    const std::string response_bytes{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"};
    BOOST_TEST((outcome_of(response_bytes, canned_server::ending::stay_open, "HEAD") == upstream_outcome::answered));
}

// Guards against a large response that fills the node's memory.
BOOST_AUTO_TEST_CASE(too_large_response_is_an_error) {
    const std::string response_bytes{"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x')};
    BOOST_TEST((outcome_of(response_bytes, canned_server::ending::stay_open) == upstream_outcome::too_large));
}

BOOST_AUTO_TEST_SUITE_END()
