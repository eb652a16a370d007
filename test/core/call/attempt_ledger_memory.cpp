#include "goldcrestwell/core/call/attempt_ledger.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(attempt_ledger_memory)

// Guards against running a request whose body was dropped, and against an untruthful refusal of it.
BOOST_AUTO_TEST_CASE(request_without_memory_is_refused_as_not_run) {
    const node_id dispatcher{100};
    const time_sample now{.steady = steady_time{std::chrono::seconds{1'000}}, .wall = {}};
    std::vector<peer_message> sent_messages;
    std::size_t started_requests = 0;
    counters counts;
    invariant_monitor invariants;
    attempt_ledger ledger{{.self = node_id{200},
                           .start_incarnation = incarnation{7},
                           .send = [&](node_id, const peer_message& message) { sent_messages.push_back(message); },
                           .start_upstream = [&](const attempt_id&, const call_request&,
                                                 std::chrono::milliseconds) { ++started_requests; },
                           .counts = &counts,
                           .invariants = &invariants}};
    ledger.set_upstream(upstream_info{.service = {"s"}, .version = {"v"}, .slots = 2, .connections = 130}, now);
    attempt_request request{.id = {.origin = dispatcher, .start_incarnation = incarnation{1}, .sequence = 1},
                            .target_incarnation = incarnation{7},
                            .route = {"/"},
                            .service = {"s"},
                            .version = {"v"},
                            .call = {.method = "POST", .target = "/", .timeout = std::chrono::seconds{1}}};
    ledger.on_oversized_request(dispatcher, request, now);
    BOOST_REQUIRE(sent_messages.size() == 1U);
    const auto& refusal = std::get<call_refusal>(std::get<attempt_reply>(sent_messages.front()).result);
    BOOST_TEST((refusal.reason == refusal_reason::out_of_memory));
    BOOST_TEST((refusal.state == run_state::not_run));
    request.call.body = "body";
    ledger.on_request(dispatcher, request, now);
    BOOST_TEST(started_requests == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
