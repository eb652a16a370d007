// Reports of attempts for logs.

#include "goldcrestwell/core/call/attempt_ledger.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace goldcrestwell;
using namespace std::chrono_literals;

namespace {

const node_id dispatcher_node_id{100};
constexpr incarnation start_incarnation{7};

time_sample at(const std::chrono::microseconds elapsed) {
    return {.steady = steady_time{1'000s} + elapsed, .wall = {}};
}

attempt_request request_of(const std::uint64_t sequence, const upstream_version& version) {
    return {.id = {.origin = dispatcher_node_id, .start_incarnation = incarnation{1}, .sequence = sequence},
            .target_incarnation = start_incarnation,
            .route = {"/"},
            .service = {"s"},
            .version = version,
            .call = {.method = "GET", .target = "/", .headers = {}, .timeout = 1'000ms}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(attempt_ledger_reports)

// Guards against a report that names the configuration in force at the end of an attempt instead of at its arrival.
BOOST_AUTO_TEST_CASE(reports_name_the_configuration_at_arrival) {
    std::uint64_t config_version = 7;
    std::vector<attempt_event> events;
    counters counts;
    invariant_monitor invariants;
    attempt_ledger ledger{{.self = node_id{200},
                           .start_incarnation = start_incarnation,
                           .send = [](node_id, const peer_message&) {},
                           .start_upstream = [](const attempt_id&, const call_request&, std::chrono::milliseconds) {},
                           .abort_upstream = [](const attempt_id&) {},
                           .config_version = [&config_version] { return config_version; },
                           .report = [&events](const attempt_event& event) { events.push_back(event); },
                           .counts = &counts,
                           .invariants = &invariants}};
    ledger.set_upstream(upstream_info{.service = {"s"}, .version = {"v"}, .slots = 1, .connections = 130}, at(0s));
    const auto running = request_of(1, {"v"});
    const auto waiting = request_of(2, {"v"});
    ledger.on_request(dispatcher_node_id, running, at(0s));
    ledger.on_request(dispatcher_node_id, waiting, at(0s));
    config_version = 8;
    ledger.on_cancel(dispatcher_node_id, {.id = waiting.id}, at(1ms));
    ledger.on_upstream_result(running.id, {.outcome = upstream_outcome::answered, .response = {.status = 200}},
                              at(2ms));
    ledger.on_request(dispatcher_node_id, request_of(3, {"other"}), at(3ms));
    BOOST_REQUIRE(events.size() == 3U);
    BOOST_TEST((events[0].reason == refusal_reason::cancelled));
    BOOST_TEST(events[0].config_version == 7U);
    BOOST_TEST((events[1].reason == refusal_reason::none));
    BOOST_TEST(events[1].config_version == 7U);
    BOOST_TEST((events[2].reason == refusal_reason::wrong_upstream));
    BOOST_TEST(events[2].config_version == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
