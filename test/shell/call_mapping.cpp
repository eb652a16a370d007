#include "goldcrestwell/shell/call_mapping.hpp"

#include "goldcrestwell/shell/http_connection.hpp"
#include "goldcrestwell/shell/http_headers.hpp"
#include "goldcrestwell/shell/http_server.hpp"
#include "shell/loop_steps.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;
using test::run_until;

namespace {

constexpr std::uint16_t port = 25'230;
constexpr std::chrono::milliseconds default_timeout{10'000};

/** @brief Returns the call that a listener maps a request to. */
std::optional<call_request> map_to_call(const http_client_request& request) {
    event_loop loop;
    std::optional<call_request> call;
    http_server server{loop, {.port = port, .on_request = [&call](const std::shared_ptr<http_exchange>& exchange) {
                                  call = to_call(*exchange, default_timeout);
                                  exchange->reply({.status = 200, .headers = {}, .body = "done"});
                              }}};
    BOOST_REQUIRE(server.start());
    http_connection connection{loop, {.address = "127.0.0.1", .port = port}, 1000};
    bool answered{};
    connection.send(request, [&answered](const upstream_result& result) {
        answered = result.outcome == upstream_outcome::answered;
    });
    BOOST_TEST(run_until(loop, [&] { return answered; }));
    return call;
}

http_client_request with_header(const std::string_view name, const std::string& value) {
    return {.target = "/orders", .headers = {{.name = std::string{name}, .value = value}}};
}

void check_refusal(const call_refusal& refusal, const std::uint32_t status, const std::string_view outcome) {
    const auto response = to_http(refusal);
    BOOST_TEST(response.status == status);
    BOOST_TEST((find_header(response.headers, outcome_header) == outcome));
    BOOST_TEST((find_header(response.headers, reason_header) == to_string(refusal.reason)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_mapping)

// Guards against losing a part of a request.
BOOST_AUTO_TEST_CASE(request_becomes_a_call) {
    const auto call = map_to_call({.method = "POST",
                                   .target = "/orders/7?copies=2",
                                   .headers = {{.name = "goldcrestwell-timeout-ms", .value = "250"},
                                               {.name = "Goldcrestwell-Hops", .value = "3"},
                                               {.name = "x-request-id", .value = "r1"}},
                                   .body = "content"});
    BOOST_REQUIRE(call.has_value());
    BOOST_TEST(call->method == "POST");
    BOOST_TEST(call->target == "/orders/7?copies=2");
    BOOST_TEST(call->body == "content");
    BOOST_TEST((call->timeout == std::chrono::milliseconds{250}));
    BOOST_TEST(call->hops == 3U);
    BOOST_TEST((find_header(call->headers, "x-request-id") == "r1"));
    BOOST_TEST(!find_header(call->headers, timeout_header).has_value());
    BOOST_TEST(!find_header(call->headers, hops_header).has_value());
}

// Guards against reading an invalid timeout or hop count as another number or as missing.
BOOST_AUTO_TEST_CASE(system_headers_are_checked) {
    const auto without = map_to_call({.target = "/orders"});
    BOOST_REQUIRE(without.has_value());
    BOOST_TEST((without->timeout == default_timeout));
    BOOST_TEST(without->hops == 0U);
    for (const auto* const value : {"soon", "-1", "1.5", "", "3600001", "99999999999999"}) {
        BOOST_TEST_INFO(value);
        BOOST_TEST(!map_to_call(with_header(timeout_header, value)).has_value());
    }
    BOOST_TEST(!map_to_call(with_header(hops_header, "many")).has_value());
    BOOST_TEST(!map_to_call(with_header(hops_header, "1001")).has_value());
}

// Guards against a refusal whose status claims more than is known about the execution of the call.
BOOST_AUTO_TEST_CASE(refusals_state_outcome_and_reason) {
    check_refusal({.reason = refusal_reason::queue_full, .state = run_state::not_run}, 503, "not-run");
    check_refusal({.reason = refusal_reason::upstream_timeout, .state = run_state::unknown}, 504, "unknown");
    check_refusal({.reason = refusal_reason::bad_request, .state = run_state::not_run}, 400, "not-run");
    check_refusal({.reason = refusal_reason::bad_request, .state = run_state::unknown}, 504, "unknown");
    check_refusal({.reason = refusal_reason::no_route, .state = run_state::not_run}, 404, "not-run");
    check_refusal({.reason = refusal_reason::request_too_large, .state = run_state::not_run}, 413, "not-run");
}

// Guards against a request to an upstream without the remaining time and the hop count of the call.
BOOST_AUTO_TEST_CASE(upstream_headers_hold_remaining_time_and_hops) {
    const auto headers =
        upstream_headers({.headers = {{.name = "x-a", .value = "b"}}, .hops = 4}, std::chrono::milliseconds{120});
    BOOST_TEST((find_header(headers, "x-a") == "b"));
    BOOST_TEST((find_header(headers, timeout_header) == "120"));
    BOOST_TEST((find_header(headers, hops_header) == "4"));
}

BOOST_AUTO_TEST_SUITE_END()
