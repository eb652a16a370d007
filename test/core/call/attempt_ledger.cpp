#include "goldcrestwell/core/call/attempt_ledger.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace goldcrestwell;
using namespace std::chrono_literals;

namespace {

const node_id dispatcher_node_id{100};
const node_id ledger_node_id{200};
constexpr incarnation start_incarnation{7};

time_sample at(const std::chrono::microseconds elapsed) {
    return {.steady = steady_time{1'000s} + elapsed, .wall = {}};
}

attempt_id id_of(const std::uint64_t sequence) {
    return {.origin = dispatcher_node_id, .start_incarnation = incarnation{1}, .sequence = sequence};
}

attempt_request request_of(const std::uint64_t sequence, const std::chrono::milliseconds timeout = 1'000ms) {
    return {.id = id_of(sequence),
            .target_incarnation = start_incarnation,
            .route = {"/"},
            .service = {"s"},
            .version = {"v"},
            .call = {.method = "POST", .target = "/", .headers = {}, .body = "b", .timeout = timeout}};
}

upstream_result response_of_upstream() {
    return {.outcome = upstream_outcome::answered, .response = {.status = 200, .headers = {}, .body = "ok"}};
}

struct fixture {
    explicit fixture(attempt_ledger_options options = {}) : ledger{complete_options(std::move(options))} {
        ledger.set_upstream(upstream_info{.service = {"s"}, .version = {"v"}, .slots = 2, .connections = 130}, at(0s));
    }

    attempt_ledger_options complete_options(attempt_ledger_options options) {
        options.self = ledger_node_id;
        options.start_incarnation = start_incarnation;
        options.send = [this](node_id, const peer_message& message) {
            sent_messages.push_back(message);
        };
        options.start_upstream = [this](const attempt_id& id, const call_request&, std::chrono::milliseconds) {
            started_sequences.push_back(id.sequence);
        };
        options.abort_upstream = [this](const attempt_id& id) {
            aborted_sequences.push_back(id.sequence);
        };
        options.observe = [this](const call_observation& observation) {
            observations.push_back(observation);
        };
        options.is_row_failing = [this](const row_key&) {
            return row_is_failing;
        };
        options.counts = &counts;
        options.invariants = &invariants;
        return options;
    }

    /** @brief Returns the refusal in the last frame, or one with reason `none`. */
    [[nodiscard]] call_refusal last_refusal() const {
        const auto* reply = sent_messages.empty() ? nullptr : std::get_if<attempt_reply>(&sent_messages.back());
        const auto* found = reply == nullptr ? nullptr : std::get_if<call_refusal>(&reply->result);
        return found == nullptr ? call_refusal{} : *found;
    }
    [[nodiscard]] bool last_refusal_is(const refusal_reason reason, const run_state state) const {
        return last_refusal() == call_refusal{.reason = reason, .state = state};
    }
    [[nodiscard]] bool last_status_is(const attempt_progress progress) const {
        const auto* found = std::get_if<attempt_status>(&sent_messages.back());
        return found != nullptr && found->progress == progress;
    }
    void query(const std::uint64_t sequence, const time_sample now, const incarnation target = start_incarnation) {
        ledger.on_query(dispatcher_node_id, {.id = id_of(sequence), .target_incarnation = target}, now);
    }

    std::vector<peer_message> sent_messages;
    std::vector<std::uint64_t> started_sequences;
    std::vector<std::uint64_t> aborted_sequences;
    std::vector<call_observation> observations;
    counters counts;
    invariant_monitor invariants;
    bool row_is_failing{};
    attempt_ledger ledger;
};

} // namespace

BOOST_AUTO_TEST_SUITE(attempt_ledger_suite)

// Guards against a second run when a copy of a request arrives late, even after its id has been removed from memory.
BOOST_AUTO_TEST_CASE(repeated_request_runs_once) {
    fixture node;
    node.ledger.on_request(dispatcher_node_id, request_of(1), at(0s));
    node.ledger.on_request(dispatcher_node_id, request_of(1), at(1ms));
    node.ledger.on_upstream_result(id_of(1), response_of_upstream(), at(2ms));
    node.ledger.on_request(dispatcher_node_id, request_of(1), at(3ms));
    BOOST_TEST(std::holds_alternative<http_response>(std::get<attempt_reply>(node.sent_messages.back()).result));
    node.ledger.on_request(dispatcher_node_id, request_of(1), at(30s));
    BOOST_TEST(node.last_refusal_is(refusal_reason::duplicate, run_state::ran));
    node.ledger.on_timer(at(200s));
    node.ledger.on_request(dispatcher_node_id, request_of(1), at(201s));
    BOOST_TEST(node.last_refusal_is(refusal_reason::duplicate, run_state::unknown));
    node.query(1, at(202s));
    BOOST_TEST(node.last_status_is(attempt_progress::lost));
    BOOST_TEST(node.started_sequences.size() == 1U);
}

// Guards against running a request that arrives after the status `never_seen` was sent for it.
BOOST_AUTO_TEST_CASE(request_is_refused_after_status_never_seen) {
    fixture node;
    node.query(5, at(0s));
    BOOST_TEST(node.last_status_is(attempt_progress::never_seen));
    node.ledger.on_request(dispatcher_node_id, request_of(5), at(10s));
    BOOST_TEST(node.last_refusal_is(refusal_reason::never_seen_before, run_state::not_run));
    BOOST_TEST(node.counts.attempt_refusals[refusal_reason::never_seen_before] == 2U);
    node.ledger.on_request(dispatcher_node_id, request_of(6), at(10s));
    BOOST_TEST((node.started_sequences == std::vector<std::uint64_t>{6}));
}

// Guards against a restarted node that handles requests and queries addressed to its previous process.
BOOST_AUTO_TEST_CASE(messages_to_another_incarnation_are_refused_or_lost) {
    fixture node;
    auto request = request_of(1);
    request.target_incarnation = incarnation{6};
    node.ledger.on_request(dispatcher_node_id, request, at(0s));
    BOOST_TEST(node.last_refusal_is(refusal_reason::wrong_life, run_state::not_run));
    node.query(1, at(0s), incarnation{6});
    BOOST_TEST(node.last_status_is(attempt_progress::lost));
    BOOST_TEST(node.started_sequences.empty());
}

// Guards against a refusal with the wrong run state for one of the upstream outcomes.
BOOST_AUTO_TEST_CASE(refusal_states_whether_the_request_may_have_run) {
    const std::vector<std::tuple<upstream_outcome, refusal_reason, run_state>> table{
        {upstream_outcome::not_sent, refusal_reason::upstream_unreachable, run_state::not_run},
        {upstream_outcome::timed_out, refusal_reason::upstream_timeout, run_state::unknown},
        {upstream_outcome::reset, refusal_reason::upstream_reset, run_state::unknown},
        {upstream_outcome::truncated, refusal_reason::answer_truncated, run_state::unknown},
        {upstream_outcome::too_large, refusal_reason::answer_too_large, run_state::unknown}};
    fixture node;
    std::uint64_t sequence = 0;
    for (const auto& [outcome, reason, state] : table) {
        node.ledger.on_request(dispatcher_node_id, request_of(++sequence), at(0s));
        node.ledger.on_upstream_result(id_of(sequence), {.outcome = outcome, .response = {}}, at(1ms));
        BOOST_TEST(node.last_refusal_is(reason, state), to_string(reason));
    }
    BOOST_TEST(node.observations.size() == 4U); // all but `not_sent`
}

// Guards against evidence from calls that the ledger refused or that the caller cancelled.
BOOST_AUTO_TEST_CASE(refused_and_cancelled_calls_are_not_observed) {
    fixture node;
    node.row_is_failing = true;
    node.ledger.on_request(dispatcher_node_id, request_of(1), at(0s));
    BOOST_TEST(node.last_refusal_is(refusal_reason::upstream_failing, run_state::not_run));
    node.row_is_failing = false;
    node.ledger.on_request(dispatcher_node_id, request_of(2), at(0s));
    node.ledger.on_cancel(dispatcher_node_id, {.id = id_of(2)}, at(1ms));
    node.ledger.on_upstream_result(id_of(2), {.outcome = upstream_outcome::reset, .response = {}}, at(2ms));
    BOOST_TEST(node.last_refusal_is(refusal_reason::cancelled, run_state::unknown));
    BOOST_TEST(node.observations.empty());
}

// Guards against running a cancelled call, and against stating that a running call did not run.
BOOST_AUTO_TEST_CASE(cancel_refuses_waiting_calls_and_aborts_running_ones) {
    fixture node;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        node.ledger.on_request(dispatcher_node_id, request_of(i), at(0s));
    }
    node.ledger.on_cancel(dispatcher_node_id, {.id = id_of(3)}, at(1ms));
    BOOST_TEST(node.last_refusal_is(refusal_reason::cancelled, run_state::not_run));
    node.ledger.on_cancel(dispatcher_node_id, {.id = id_of(1)}, at(1ms));
    BOOST_TEST((node.aborted_sequences == std::vector<std::uint64_t>{1}));
    node.ledger.on_cancel(dispatcher_node_id, {.id = id_of(9)}, at(1ms));
    node.ledger.on_request(dispatcher_node_id, request_of(9), at(2ms));
    BOOST_TEST(node.last_refusal_is(refusal_reason::cancelled, run_state::not_run));
    BOOST_TEST((node.started_sequences == std::vector<std::uint64_t>{1, 2}));
}

// Guards against queuing calls that can not finish before their deadline.
BOOST_AUTO_TEST_CASE(calls_expected_to_miss_their_deadline_are_refused_at_once) {
    fixture node;
    node.ledger.on_request(dispatcher_node_id, request_of(1), at(0s));
    node.ledger.on_upstream_result(id_of(1), response_of_upstream(), at(100ms)); // service time 100 ms, two slots
    for (std::uint64_t i = 2; i <= 5; ++i) {
        node.ledger.on_request(dispatcher_node_id, request_of(i), at(100ms));
    }
    node.ledger.on_request(dispatcher_node_id, request_of(6, 200ms), at(100ms));
    BOOST_TEST(node.last_refusal_is(refusal_reason::deadline_passed, run_state::not_run));
    node.ledger.on_request(dispatcher_node_id, request_of(7, 300ms), at(100ms));
    BOOST_TEST(node.ledger.in_progress() == 5U);
    node.ledger.on_timer(at(400ms));
    BOOST_TEST(node.last_refusal_is(refusal_reason::deadline_passed, run_state::not_run));
    BOOST_TEST(node.started_sequences.size() == 3U);
}

// Guards against a row that exceeds its limits or blocks the calls of other rows.
BOOST_AUTO_TEST_CASE(row_limits_bound_running_and_waiting_calls) {
    fixture node;
    auto limited = request_of(1);
    limited.limits = {.max_in_flight = 1, .max_connections = 0, .max_queue = 1, .timeout = {}};
    for (std::uint64_t i = 1; i <= 3; ++i) {
        limited.id = id_of(i);
        node.ledger.on_request(dispatcher_node_id, limited, at(0s));
    }
    BOOST_TEST(node.last_refusal_is(refusal_reason::queue_full, run_state::not_run));
    auto other = request_of(4);
    other.route = {"/other"};
    node.ledger.on_request(dispatcher_node_id, other, at(0s));
    BOOST_TEST((node.started_sequences == std::vector<std::uint64_t>{1, 4}));
    node.ledger.on_upstream_result(id_of(1), response_of_upstream(), at(1ms));
    BOOST_TEST((node.started_sequences == std::vector<std::uint64_t>{1, 4, 2}));
}

// Guards against a full ledger that drops ids to accept new attempts, and against running a copy of a request that was
// refused as not run.
BOOST_AUTO_TEST_CASE(full_ledger_refuses_new_attempts) {
    attempt_ledger_options options;
    options.max_ids = 10;
    fixture node{std::move(options)};
    for (std::uint64_t i = 1; i <= 10; ++i) {
        node.ledger.on_request(dispatcher_node_id, request_of(i), at(0s));
        node.ledger.on_upstream_result(id_of(i), response_of_upstream(), at(1ms));
    }
    node.ledger.on_request(dispatcher_node_id, request_of(11), at(2ms));
    BOOST_TEST(node.last_refusal_is(refusal_reason::queue_full, run_state::not_run));
    node.ledger.on_timer(at(130s));
    node.ledger.on_request(dispatcher_node_id, request_of(11), at(131s));
    BOOST_TEST(node.started_sequences.size() == 10U);
    node.ledger.on_request(dispatcher_node_id, request_of(12), at(131s));
    BOOST_TEST(node.started_sequences.size() == 11U);
}

// Guards against a drain that aborts queued or running calls, or that accepts new ones.
BOOST_AUTO_TEST_CASE(drain_finishes_accepted_calls) {
    fixture node;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        node.ledger.on_request(dispatcher_node_id, request_of(i), at(0s));
    }
    node.ledger.drain(at(1ms));
    node.ledger.set_upstream(std::nullopt, at(1ms));
    node.ledger.on_request(dispatcher_node_id, request_of(4), at(1ms));
    BOOST_TEST(node.last_refusal_is(refusal_reason::draining, run_state::not_run));
    for (std::uint64_t i = 1; i <= 3; ++i) {
        node.ledger.on_upstream_result(id_of(i), response_of_upstream(), at(2ms));
    }
    BOOST_TEST(node.started_sequences.size() == 3U);
    BOOST_TEST(node.ledger.in_progress() == 0U);
    BOOST_TEST(node.invariants.violations() == 0U);
}

// Guards against queued calls that run at another version, or that wait for an upstream that was removed.
BOOST_AUTO_TEST_CASE(queued_calls_are_refused_when_the_upstream_changes) {
    fixture node;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        node.ledger.on_request(dispatcher_node_id, request_of(i), at(0s));
    }
    node.ledger.set_upstream(upstream_info{.service = {"s"}, .version = {"w"}, .slots = 9, .connections = 9}, at(1ms));
    BOOST_TEST(node.last_refusal_is(refusal_reason::wrong_upstream, run_state::not_run));
    node.ledger.set_upstream(std::nullopt, at(2ms));
    node.ledger.on_request(dispatcher_node_id, request_of(4), at(3ms));
    BOOST_TEST(node.last_refusal_is(refusal_reason::no_upstream, run_state::not_run));
    BOOST_TEST(node.started_sequences.size() == 2U);
}

// Guards against nested calls that wait for most of their objective when the upstreams of the called service are full:
// the requests that make them occupy slots of their own service meanwhile.
BOOST_AUTO_TEST_CASE(nested_call_waits_for_half_of_its_objective) {
    fixture node;
    const auto send = [&node](const std::uint64_t sequence, const std::uint32_t hops) {
        auto request = request_of(sequence);
        request.objective = 100ms;
        request.call.hops = hops;
        node.ledger.on_request(dispatcher_node_id, request, at(0s));
    };
    send(1, 1);
    send(2, 1);
    send(3, 1);
    send(4, 2);
    const auto before = node.sent_messages.size();
    node.ledger.on_timer(at(50ms));
    BOOST_REQUIRE(node.sent_messages.size() == before + 1);
    BOOST_TEST(std::get<attempt_reply>(node.sent_messages.back()).id.sequence == 4U);
    node.ledger.on_timer(at(99ms));
    BOOST_TEST(node.sent_messages.size() == before + 1);
}

// Load: nested calls to a service whose slots are busy with longer requests, at upstreams of half the usual speed.
// Guards against a refusal of every nested call although a slot is free in time: the service time alone exceeds half of
// the objective.
BOOST_AUTO_TEST_CASE(nested_call_of_slow_upstream_is_accepted_while_slots_are_busy) {
    fixture node;
    const auto send = [&node](const std::uint64_t sequence, const std::uint32_t hops,
                              const std::chrono::microseconds now) {
        auto request = request_of(sequence);
        request.objective = 120ms;
        request.call.hops = hops;
        request.route = {hops > 1 ? "/nested" : "/"};
        node.ledger.on_request(dispatcher_node_id, request, at(now));
    };
    send(1, 2, 0s);
    node.ledger.on_upstream_result(id_of(1), response_of_upstream(), at(70ms));
    send(2, 1, 100ms);
    send(3, 1, 100ms);
    send(4, 2, 110ms);
    node.ledger.on_upstream_result(id_of(2), response_of_upstream(), at(150ms));
    BOOST_TEST((node.started_sequences == std::vector<std::uint64_t>{1, 2, 3, 4}));
    // The wait still has its bound.
    for (std::uint64_t sequence = 5; sequence < 10; ++sequence) {
        send(sequence, 2, 151ms);
    }
    BOOST_TEST((node.last_refusal().reason == refusal_reason::deadline_passed));
}

// Guards against rolling back a good version because a service that it calls loses responses: requests that fail
// because of a nested call are no evidence.
BOOST_AUTO_TEST_CASE(failure_caused_by_a_nested_call_is_not_observed) {
    fixture node;
    const auto run = [&node](const std::uint64_t sequence, const bool call_fails) {
        auto request = request_of(sequence);
        request.call.request_id = "r" + std::to_string(sequence);
        node.ledger.on_request(dispatcher_node_id, request, at(0s));
        const row_key row{.route = request.route, .version = request.version};
        if (call_fails) {
            node.ledger.on_nested_call(request.call.request_id + ".1", row, nested_call_outcome::failed, at(0s));
        }
        auto failure = response_of_upstream();
        failure.response.status = 500;
        node.ledger.on_upstream_result(request.id, failure, at(1ms));
    };
    run(1, true);
    BOOST_TEST(node.observations.empty());
    run(2, false);
    BOOST_REQUIRE(node.observations.size() == 1U);
    BOOST_TEST(node.observations.back().failed);
}

// Guards against reports of late or refused requests that mix the time in the queue with the time at the upstream.
BOOST_AUTO_TEST_CASE(reports_separate_queue_time_and_upstream_time) {
    std::vector<attempt_event> reports;
    fixture node{{.report = [&reports](const attempt_event& event) {
        reports.push_back(event);
    }}};
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        auto request = request_of(sequence);
        request.call.request_id = "r" + std::to_string(sequence);
        node.ledger.on_request(dispatcher_node_id, request, at(0s));
    }
    node.ledger.on_upstream_result(id_of(1), response_of_upstream(), at(20ms));
    node.ledger.on_upstream_result(id_of(3), response_of_upstream(), at(50ms));
    node.ledger.drain(at(60ms));
    node.ledger.on_request(dispatcher_node_id, request_of(4), at(60ms));
    BOOST_REQUIRE(reports.size() == 3U);
    BOOST_TEST((reports[0].queued == 0ms && reports[0].at_upstream == 20ms));
    BOOST_TEST((reports[1].request_id == "r3" && reports[1].queued == 20ms && reports[1].at_upstream == 30ms));
    BOOST_TEST((reports[2].reason == refusal_reason::draining && reports[2].at_upstream == 0ms));
}

// Guards against refusing short calls while slots are free: if long and short routes share an upstream, short calls may
// have less time left than the average call needs.
BOOST_AUTO_TEST_CASE(short_calls_are_judged_by_the_service_time_of_their_row) {
    fixture node;
    const auto send = [&node](const std::uint64_t sequence, const char* route, const std::chrono::milliseconds timeout,
                              const std::chrono::milliseconds when) {
        auto request = request_of(sequence, timeout);
        request.route = {route};
        node.ledger.on_request(dispatcher_node_id, request, at(when));
    };
    std::uint64_t sequence = 0;
    auto now = 0ms;
    for (int round = 0; round < 10; ++round) {
        send(++sequence, "/short", 1'000ms, now);
        node.ledger.on_upstream_result(id_of(sequence), response_of_upstream(), at(now + 40ms));
        send(++sequence, "/long", 1'000ms, now + 40ms);
        node.ledger.on_upstream_result(id_of(sequence), response_of_upstream(), at(now + 440ms));
        now += 440ms;
    }
    send(++sequence, "/long", 1'000ms, now);
    const auto before = node.started_sequences.size();
    send(++sequence, "/short", 120ms, now);
    BOOST_TEST(node.started_sequences.size() == before + 1);
}

BOOST_AUTO_TEST_SUITE_END()
