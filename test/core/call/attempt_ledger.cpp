#include "goldcrestwell/core/call/attempt_ledger.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace goldcrestwell;
using namespace std::chrono_literals;

namespace {

const node_id caller{100};
const node_id self{200};
constexpr incarnation start_incarnation{7};

time_sample at(const std::chrono::microseconds passed) {
    return {.steady = steady_time{1'000s} + passed, .wall = {}};
}

attempt_id id_of(const std::uint64_t sequence) {
    return {.origin = caller, .start_incarnation = incarnation{1}, .sequence = sequence};
}

attempt_request request_of(const std::uint64_t sequence, const std::chrono::milliseconds timeout = 1'000ms) {
    return {.id = id_of(sequence),
            .target_incarnation = start_incarnation,
            .route = {"/"},
            .service = {"s"},
            .version = {"v"},
            .call = {.method = "POST", .target = "/", .headers = {}, .body = "b", .timeout = timeout}};
}

upstream_result answer() {
    return {.outcome = upstream_outcome::answered, .response = {.status = 200, .headers = {}, .body = "ok"}};
}

struct fixture {
    explicit fixture(attempt_ledger_options options = {}) : ledger{complete(std::move(options))} {
        ledger.set_upstream(upstream_info{.service = {"s"}, .version = {"v"}, .slots = 2, .connections = 130}, at(0s));
    }

    attempt_ledger_options complete(attempt_ledger_options options) {
        options.self = self;
        options.start_incarnation = start_incarnation;
        options.send = [this](node_id, const peer_message& message) {
            sent.push_back(message);
        };
        options.start_upstream = [this](const attempt_id& id, const call_request&, std::chrono::milliseconds) {
            started.push_back(id.sequence);
        };
        options.abort_upstream = [this](const attempt_id& id) {
            aborted.push_back(id.sequence);
        };
        options.observe = [this](const call_observation& seen) {
            observed.push_back(seen);
        };
        options.refuses = [this](const row_key&) {
            return failing;
        };
        options.counts = &counts;
        options.invariants = &invariants;
        return options;
    }

    /** @return The refusal in the last frame, or one with reason `none`. */
    [[nodiscard]] call_refusal refusal() const {
        const auto* reply = sent.empty() ? nullptr : std::get_if<attempt_reply>(&sent.back());
        const auto* found = reply == nullptr ? nullptr : std::get_if<call_refusal>(&reply->result);
        return found == nullptr ? call_refusal{} : *found;
    }
    [[nodiscard]] bool refused(const refusal_reason reason, const run_state state) const {
        return refusal() == call_refusal{.reason = reason, .state = state};
    }
    [[nodiscard]] bool status(const attempt_progress progress) const {
        const auto* found = std::get_if<attempt_status>(&sent.back());
        return found != nullptr && found->progress == progress;
    }
    void query(const std::uint64_t sequence, const time_sample now, const incarnation target = start_incarnation) {
        ledger.on_query(caller, {.id = id_of(sequence), .target_incarnation = target}, now);
    }

    std::vector<peer_message> sent;
    std::vector<std::uint64_t> started;
    std::vector<std::uint64_t> aborted;
    std::vector<call_observation> observed;
    counters counts;
    invariant_monitor invariants;
    bool failing{};
    attempt_ledger ledger;
};

} // namespace

BOOST_AUTO_TEST_SUITE(attempt_ledger_suite)

// Guards against a second run of a request that arrives again, even after its id has left memory.
BOOST_AUTO_TEST_CASE(an_id_runs_once_for_good) {
    fixture node;
    node.ledger.on_request(caller, request_of(1), at(0s));
    node.ledger.on_request(caller, request_of(1), at(1ms));
    node.ledger.on_upstream_result(id_of(1), answer(), at(2ms));
    node.ledger.on_request(caller, request_of(1), at(3ms));
    BOOST_TEST(std::holds_alternative<http_response>(std::get<attempt_reply>(node.sent.back()).result));
    node.ledger.on_request(caller, request_of(1), at(30s));
    BOOST_TEST(node.refused(refusal_reason::duplicate, run_state::ran));
    node.ledger.on_timer(at(200s));
    node.ledger.on_request(caller, request_of(1), at(201s));
    BOOST_TEST(node.refused(refusal_reason::duplicate, run_state::unknown));
    node.query(1, at(202s));
    BOOST_TEST(node.status(attempt_progress::lost));
    BOOST_TEST(node.started.size() == 1U);
}

// Guards against running a request that arrives after its caller was told that it was never seen.
BOOST_AUTO_TEST_CASE(never_seen_refuses_the_id_for_good) {
    fixture node;
    node.query(5, at(0s));
    BOOST_TEST(node.status(attempt_progress::never_seen));
    node.ledger.on_request(caller, request_of(5), at(10s));
    BOOST_TEST(node.refused(refusal_reason::never_seen_before, run_state::not_run));
    BOOST_TEST(node.counts.attempt_refusals[refusal_reason::never_seen_before] == 2U);
    node.ledger.on_request(caller, request_of(6), at(10s));
    BOOST_TEST((node.started == std::vector<std::uint64_t>{6}));
}

// Guards against a restarted node that answers for its predecessor.
BOOST_AUTO_TEST_CASE(another_life_is_refused_or_lost) {
    fixture node;
    auto request = request_of(1);
    request.target_incarnation = incarnation{6};
    node.ledger.on_request(caller, request, at(0s));
    BOOST_TEST(node.refused(refusal_reason::wrong_life, run_state::not_run));
    node.query(1, at(0s), incarnation{6});
    BOOST_TEST(node.status(attempt_progress::lost));
    BOOST_TEST(node.started.empty());
}

// Guards against a wrong run state for any way in which an upstream request can end.
BOOST_AUTO_TEST_CASE(upstream_outcomes_are_reported_truthfully) {
    const std::vector<std::tuple<upstream_outcome, refusal_reason, run_state>> table{
        {upstream_outcome::not_sent, refusal_reason::upstream_unreachable, run_state::not_run},
        {upstream_outcome::timed_out, refusal_reason::upstream_timeout, run_state::unknown},
        {upstream_outcome::reset, refusal_reason::upstream_reset, run_state::unknown},
        {upstream_outcome::truncated, refusal_reason::answer_truncated, run_state::unknown},
        {upstream_outcome::too_large, refusal_reason::answer_too_large, run_state::unknown}};
    fixture node;
    std::uint64_t sequence = 0;
    for (const auto& [outcome, reason, state] : table) {
        node.ledger.on_request(caller, request_of(++sequence), at(0s));
        node.ledger.on_upstream_result(id_of(sequence), {.outcome = outcome, .response = {}}, at(1ms));
        BOOST_TEST(node.refused(reason, state), to_string(reason));
    }
    BOOST_TEST(node.observed.size() == 4U); // all but `not_sent`
}

// Guards against evidence from calls that the system's own limits refused or that the caller cancelled.
BOOST_AUTO_TEST_CASE(only_real_runs_are_observed) {
    fixture node;
    node.failing = true;
    node.ledger.on_request(caller, request_of(1), at(0s));
    BOOST_TEST(node.refused(refusal_reason::upstream_failing, run_state::not_run));
    node.failing = false;
    node.ledger.on_request(caller, request_of(2), at(0s));
    node.ledger.on_cancel(caller, {.id = id_of(2)}, at(1ms));
    node.ledger.on_upstream_result(id_of(2), {.outcome = upstream_outcome::reset, .response = {}}, at(2ms));
    BOOST_TEST(node.refused(refusal_reason::cancelled, run_state::unknown));
    BOOST_TEST(node.observed.empty());
}

// Guards against a cancelled call that runs, or a running one that is called not run.
BOOST_AUTO_TEST_CASE(cancel_depends_on_the_state) {
    fixture node;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        node.ledger.on_request(caller, request_of(i), at(0s));
    }
    node.ledger.on_cancel(caller, {.id = id_of(3)}, at(1ms));
    BOOST_TEST(node.refused(refusal_reason::cancelled, run_state::not_run));
    node.ledger.on_cancel(caller, {.id = id_of(1)}, at(1ms));
    BOOST_TEST((node.aborted == std::vector<std::uint64_t>{1}));
    node.ledger.on_cancel(caller, {.id = id_of(9)}, at(1ms));
    node.ledger.on_request(caller, request_of(9), at(2ms));
    BOOST_TEST(node.refused(refusal_reason::cancelled, run_state::not_run));
    BOOST_TEST((node.started == std::vector<std::uint64_t>{1, 2}));
}

// Guards against queued calls that wait although they can not be finished in time.
BOOST_AUTO_TEST_CASE(late_calls_are_refused_at_once) {
    fixture node;
    node.ledger.on_request(caller, request_of(1), at(0s));
    node.ledger.on_upstream_result(id_of(1), answer(), at(100ms)); // service time 100 ms, two slots
    for (std::uint64_t i = 2; i <= 5; ++i) {
        node.ledger.on_request(caller, request_of(i), at(100ms));
    }
    node.ledger.on_request(caller, request_of(6, 200ms), at(100ms));
    BOOST_TEST(node.refused(refusal_reason::deadline_passed, run_state::not_run));
    node.ledger.on_request(caller, request_of(7, 300ms), at(100ms));
    BOOST_TEST(node.ledger.in_progress() == 5U);
    node.ledger.on_timer(at(400ms));
    BOOST_TEST(node.refused(refusal_reason::deadline_passed, run_state::not_run));
    BOOST_TEST(node.started.size() == 3U);
}

// Guards against rows that exceed their own limits or hold up the calls of other rows.
BOOST_AUTO_TEST_CASE(row_limits_bound_calls_and_queue) {
    fixture node;
    auto limited = request_of(1);
    limited.limits = {.max_in_flight = 1, .max_connections = 0, .max_queue = 1, .timeout = {}};
    for (std::uint64_t i = 1; i <= 3; ++i) {
        limited.id = id_of(i);
        node.ledger.on_request(caller, limited, at(0s));
    }
    BOOST_TEST(node.refused(refusal_reason::queue_full, run_state::not_run));
    auto other = request_of(4);
    other.route = {"/other"};
    node.ledger.on_request(caller, other, at(0s));
    BOOST_TEST((node.started == std::vector<std::uint64_t>{1, 4}));
    node.ledger.on_upstream_result(id_of(1), answer(), at(1ms));
    BOOST_TEST((node.started == std::vector<std::uint64_t>{1, 4, 2}));
}

// Guards against a full ledger that forgets ids, and against a refusal that a later copy of the request belies.
BOOST_AUTO_TEST_CASE(full_ledger_refuses_new_work) {
    attempt_ledger_options options;
    options.max_ids = 10;
    fixture node{std::move(options)};
    for (std::uint64_t i = 1; i <= 10; ++i) {
        node.ledger.on_request(caller, request_of(i), at(0s));
        node.ledger.on_upstream_result(id_of(i), answer(), at(1ms));
    }
    node.ledger.on_request(caller, request_of(11), at(2ms));
    BOOST_TEST(node.refused(refusal_reason::queue_full, run_state::not_run));
    node.ledger.on_timer(at(130s));
    node.ledger.on_request(caller, request_of(11), at(131s));
    BOOST_TEST(node.started.size() == 10U);
    node.ledger.on_request(caller, request_of(12), at(131s));
    BOOST_TEST(node.started.size() == 11U);
}

// Guards against a drain that cuts queued or running calls or accepts new ones.
BOOST_AUTO_TEST_CASE(drain_finishes_what_was_accepted) {
    fixture node;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        node.ledger.on_request(caller, request_of(i), at(0s));
    }
    node.ledger.drain(at(1ms));
    node.ledger.set_upstream(std::nullopt, at(1ms));
    node.ledger.on_request(caller, request_of(4), at(1ms));
    BOOST_TEST(node.refused(refusal_reason::draining, run_state::not_run));
    for (std::uint64_t i = 1; i <= 3; ++i) {
        node.ledger.on_upstream_result(id_of(i), answer(), at(2ms));
    }
    BOOST_TEST(node.started.size() == 3U);
    BOOST_TEST(node.ledger.in_progress() == 0U);
    BOOST_TEST(node.invariants.violations() == 0U);
}

// Guards against queued calls that run at another version, or wait for an upstream that has gone.
BOOST_AUTO_TEST_CASE(queued_calls_do_not_change_upstream) {
    fixture node;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        node.ledger.on_request(caller, request_of(i), at(0s));
    }
    node.ledger.set_upstream(upstream_info{.service = {"s"}, .version = {"w"}, .slots = 9, .connections = 9}, at(1ms));
    BOOST_TEST(node.refused(refusal_reason::wrong_upstream, run_state::not_run));
    node.ledger.set_upstream(std::nullopt, at(2ms));
    node.ledger.on_request(caller, request_of(4), at(3ms));
    BOOST_TEST(node.refused(refusal_reason::no_upstream, run_state::not_run));
    BOOST_TEST(node.started.size() == 2U);
}

// Load: the upstreams of a called service are full. Guards against calls that wait for most of their objective while
// the request that made them holds a slot of its own service.
BOOST_AUTO_TEST_CASE(call_of_a_running_request_waits_for_half_of_its_objective) {
    fixture node;
    const auto send = [&node](const std::uint64_t sequence, const std::uint32_t hops) {
        auto request = request_of(sequence);
        request.objective = 100ms;
        request.call.hops = hops;
        node.ledger.on_request(caller, request, at(0s));
    };
    send(1, 1);
    send(2, 1);
    send(3, 1);
    send(4, 2);
    const auto before = node.sent.size();
    node.ledger.on_timer(at(50ms));
    BOOST_REQUIRE(node.sent.size() == before + 1);
    BOOST_TEST(std::get<attempt_reply>(node.sent.back()).id.sequence == 4U);
    node.ledger.on_timer(at(99ms));
    BOOST_TEST(node.sent.size() == before + 1);
}

// Guards against a good version that is taken back because a service that it calls loses answers: requests that fail at
// such a call are no evidence.
BOOST_AUTO_TEST_CASE(failure_of_an_own_call_does_not_speak_against_the_version) {
    fixture node;
    const auto run = [&node](const std::uint64_t sequence, const bool call_fails) {
        auto request = request_of(sequence);
        request.call.request_id = "r" + std::to_string(sequence);
        node.ledger.on_request(caller, request, at(0s));
        const row_key row{.route = request.route, .version = request.version};
        if (call_fails) {
            node.ledger.on_own_call(request.call.request_id + ".1", row, own_call_end::failed, at(0s));
        }
        auto failure = answer();
        failure.response.status = 500;
        node.ledger.on_upstream_result(request.id, failure, at(1ms));
    };
    run(1, true);
    BOOST_TEST(node.observed.empty());
    run(2, false);
    BOOST_REQUIRE(node.observed.size() == 1U);
    BOOST_TEST(node.observed.back().failed);
}

// Guards against late and refused requests whose time in the queue can not be told from that at the upstream.
BOOST_AUTO_TEST_CASE(reports_tell_queue_and_upstream_apart) {
    std::vector<attempt_event> reports;
    fixture node{{.report = [&reports](const attempt_event& event) {
        reports.push_back(event);
    }}};
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        auto request = request_of(sequence);
        request.call.request_id = "r" + std::to_string(sequence);
        node.ledger.on_request(caller, request, at(0s));
    }
    node.ledger.on_upstream_result(id_of(1), answer(), at(20ms));
    node.ledger.on_upstream_result(id_of(3), answer(), at(50ms));
    node.ledger.drain(at(60ms));
    node.ledger.on_request(caller, request_of(4), at(60ms));
    BOOST_REQUIRE(reports.size() == 3U);
    BOOST_TEST((reports[0].queued == 0ms && reports[0].at_upstream == 20ms));
    BOOST_TEST((reports[1].request_id == "r3" && reports[1].queued == 20ms && reports[1].at_upstream == 30ms));
    BOOST_TEST((reports[2].reason == refusal_reason::draining && reports[2].at_upstream == 0ms));
}

// Load: long and short routes share an upstream. Guards against short calls that are refused beside free slots because
// they have less time left than the long ones need.
BOOST_AUTO_TEST_CASE(short_calls_are_measured_by_their_own_time) {
    fixture node;
    const auto send = [&node](const std::uint64_t sequence, const char* route, const std::chrono::milliseconds timeout,
                              const std::chrono::milliseconds when) {
        auto request = request_of(sequence, timeout);
        request.route = {route};
        node.ledger.on_request(caller, request, at(when));
    };
    std::uint64_t sequence = 0;
    auto now = 0ms;
    for (int round = 0; round < 10; ++round) {
        send(++sequence, "/short", 1'000ms, now);
        node.ledger.on_upstream_result(id_of(sequence), answer(), at(now + 40ms));
        send(++sequence, "/long", 1'000ms, now + 40ms);
        node.ledger.on_upstream_result(id_of(sequence), answer(), at(now + 440ms));
        now += 440ms;
    }
    send(++sequence, "/long", 1'000ms, now);
    const auto before = node.started.size();
    send(++sequence, "/short", 120ms, now);
    BOOST_TEST(node.started.size() == before + 1);
}

BOOST_AUTO_TEST_SUITE_END()
