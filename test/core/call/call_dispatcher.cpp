#include "goldcrestwell/core/call/call_dispatcher.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace goldcrestwell;
using namespace std::chrono_literals;

namespace {

const node_id self{100};

time_sample at(const std::chrono::microseconds elapsed) {
    return {.steady = steady_time{1'000s} + elapsed, .wall = {}};
}

struct fixture {
    explicit fixture(call_dispatcher_options options = {}) : dispatcher{complete_options(std::move(options))} {
        for (std::uint64_t i = 1; i <= 4; ++i) {
            nodes.push_back({.node = node_id{i}, .slots = 10, .local = true, .announced_at = {}});
        }
    }

    call_dispatcher_options complete_options(call_dispatcher_options options) {
        options.self = self;
        options.start_incarnation = incarnation{5};
        options.find_route = [](const call_request& call) -> std::optional<route_view> {
            return call.target == "/none" ? std::nullopt : std::optional{route_view{.route = {"/"}, .service = {"s"}}};
        };
        options.find_policy = [this](const row_key&) {
            return policy;
        };
        options.shares = [this](const route_view&) {
            return shares;
        };
        options.candidates = [this](const service_name&, const upstream_version& version) {
            return version.value == "new" ? std::span{nodes}.subspan(2) : std::span{nodes}.first(2);
        };
        options.start_incarnation_of = [](node_id) {
            return incarnation{9};
        };
        options.send = [this](const node_id to, const peer_message& message) {
            sent_messages.emplace_back(to, message);
        };
        options.replace_connection = [this](const node_id peer) {
            replaced_peers.push_back(peer);
        };
        options.reply = [this](call_id, const call_result& result) {
            results.push_back(result);
        };
        options.counts = &counts;
        options.invariants = &invariants;
        return options;
    }

    call_id start(const std::string& method, const time_sample now = at(0s)) {
        return dispatcher.start(
            {.method = method, .target = "/x", .headers = {}, .body = "b", .timeout = 10'000ms, .hops = 2}, now);
    }
    /** @brief Returns the last attempt that was sent, with its target. */
    [[nodiscard]] std::pair<node_id, attempt_request> last_attempt() const {
        const auto found = std::find_if(sent_messages.rbegin(), sent_messages.rend(), [](const auto& item) {
            return std::holds_alternative<attempt_request>(item.second);
        });
        return {found->first, std::get<attempt_request>(found->second)};
    }
    void refuse_last_attempt(const refusal_reason reason, const run_state state, const time_sample now = at(1ms)) {
        const auto [to, request] = last_attempt();
        dispatcher.on_reply(to, {.id = request.id, .result = call_refusal{.reason = reason, .state = state}}, now);
    }
    [[nodiscard]] std::size_t attempt_count() const { return message_count<attempt_request>(); }
    template <typename Message>
    [[nodiscard]] std::size_t message_count() const {
        return static_cast<std::size_t>(std::ranges::count_if(
            sent_messages, [](const auto& item) { return std::holds_alternative<Message>(item.second); }));
    }
    [[nodiscard]] bool only_result_is_refusal(const refusal_reason reason, const run_state state) const {
        const auto* found = results.size() == 1 ? std::get_if<call_refusal>(&results.front()) : nullptr;
        return found != nullptr && *found == call_refusal{.reason = reason, .state = state};
    }

    row_policy policy;
    std::vector<upstream_candidate> nodes;
    std::vector<version_share> shares{{.version = {"old"}, .share = full_share}};
    std::vector<std::pair<node_id, peer_message>> sent_messages;
    std::vector<node_id> replaced_peers;
    std::vector<call_result> results;
    counters counts;
    invariant_monitor invariants;
    call_dispatcher dispatcher;
};

} // namespace

BOOST_AUTO_TEST_SUITE(call_dispatcher_suite)

// Guards against attempts that use up the retry budget, which failed calls need, although they reached no upstream
// because all upstreams of a service are full.
BOOST_AUTO_TEST_CASE(attempts_that_reached_no_upstream_use_no_retry_budget) {
    call_dispatcher_options options;
    options.max_redirects = 1;
    options.retries = {.retries_per_call = 0.0, .retries_per_second = 0.0, .max_tokens = 1.0};
    fixture node{options};
    for (int call = 0; call < 3; ++call) {
        node.start("GET");
        node.refuse_last_attempt(refusal_reason::queue_full, run_state::not_run);
        node.refuse_last_attempt(refusal_reason::queue_full, run_state::not_run);
    }
    BOOST_TEST(node.attempt_count() == 6U);
    BOOST_TEST(node.counts.refusals[refusal_reason::queue_full] == 3U);
    node.start("GET");
    node.refuse_last_attempt(refusal_reason::upstream_reset, run_state::unknown);
    BOOST_TEST(node.attempt_count() == 8U);
}

// Guards against losing a failure response of an upstream when the retry gets no response at all.
BOOST_AUTO_TEST_CASE(failure_response_is_returned_if_the_retry_gets_none) {
    fixture node;
    node.policy = {.idempotent = true, .retry_failed_responses = true};
    node.start("GET");
    const auto [to, request] = node.last_attempt();
    node.dispatcher.on_reply(to, {.id = request.id, .result = http_response{.status = 500}}, at(1ms));
    BOOST_TEST(node.attempt_count() == 2U);
    BOOST_TEST(node.results.empty());
    node.refuse_last_attempt(refusal_reason::queue_full, run_state::not_run);
    BOOST_REQUIRE(node.results.size() == 1U);
    BOOST_TEST(std::get<http_response>(node.results.front()).status == 500U);
}

// Guards against retrying a non-idempotent request that may have run: it must not run twice.
BOOST_AUTO_TEST_CASE(unknown_outcome_is_final_unless_idempotent) {
    fixture post;
    post.start("POST");
    post.refuse_last_attempt(refusal_reason::upstream_reset, run_state::unknown);
    BOOST_TEST(post.only_result_is_refusal(refusal_reason::upstream_reset, run_state::unknown));
    BOOST_TEST(post.attempt_count() == 1U);
    fixture get;
    get.start("GET");
    get.refuse_last_attempt(refusal_reason::upstream_reset, run_state::unknown);
    BOOST_TEST(get.attempt_count() == 2U);
    get.refuse_last_attempt(refusal_reason::queue_full, run_state::not_run);
    BOOST_TEST(get.only_result_is_refusal(refusal_reason::queue_full, run_state::unknown));
    BOOST_TEST(get.counts.retries[retry_reason::idempotent_upstream_failure] == 1U);
}

// Guards against retries at the same node, with the same id, or without end.
BOOST_AUTO_TEST_CASE(retries_use_other_nodes_and_are_bounded) {
    fixture node;
    node.shares = {{.version = {"old"}, .share = share{500'000}}, {.version = {"new"}, .share = share{500'000}}};
    node.start("POST");
    std::vector<node_id> targets;
    std::vector<std::uint64_t> ids;
    while (node.results.empty()) {
        targets.push_back(node.last_attempt().first);
        ids.push_back(node.last_attempt().second.id.sequence);
        node.refuse_last_attempt(refusal_reason::draining, run_state::not_run);
    }
    BOOST_TEST(targets.size() == 3U);
    std::ranges::sort(targets);
    std::ranges::sort(ids);
    BOOST_TEST((std::ranges::adjacent_find(targets) == targets.end()));
    BOOST_TEST((std::ranges::adjacent_find(ids) == ids.end()));
    BOOST_TEST(node.only_result_is_refusal(refusal_reason::draining, run_state::not_run));
}

// Guards against calls that fail at a failing candidate although the baseline version has a share.
BOOST_AUTO_TEST_CASE(call_falls_back_to_the_baseline_when_the_candidate_fails) {
    fixture node;
    node.shares = {{.version = {"old"}, .share = share{400'000}}, {.version = {"new"}, .share = share{600'000}}};
    while (node.attempt_count() == 0 || node.last_attempt().second.version.value != "new") {
        node.start("POST");
    }
    const auto before = node.attempt_count();
    node.refuse_last_attempt(refusal_reason::upstream_failing, run_state::not_run);
    BOOST_TEST(node.last_attempt().second.version.value == "old");
    BOOST_TEST(node.attempt_count() == before + 1);
}

// Guards against an endless loop between nodes, a call without a route, and a retry with the full timeout.
BOOST_AUTO_TEST_CASE(hops_route_and_remaining_timeout_are_checked) {
    fixture node;
    node.dispatcher.start({.method = "GET", .target = "/x", .headers = {}, .body = {}, .hops = 8}, at(0s));
    BOOST_TEST(node.only_result_is_refusal(refusal_reason::too_many_hops, run_state::not_run));
    node.results.clear();
    node.dispatcher.start({.method = "GET", .target = "/none", .headers = {}, .body = {}}, at(0s));
    BOOST_TEST(node.only_result_is_refusal(refusal_reason::no_route, run_state::not_run));
    node.start("POST");
    BOOST_TEST(node.last_attempt().second.call.hops == 3U);
    const auto first = node.last_attempt().second.call.timeout;
    node.refuse_last_attempt(refusal_reason::queue_full, run_state::not_run, at(4s));
    BOOST_TEST((node.last_attempt().second.call.timeout == first - 4s));
}

// Guards against a reply that reaches the wrong caller, or a caller that already has its result.
BOOST_AUTO_TEST_CASE(late_and_crossed_replies_are_dropped) {
    fixture node;
    node.start("POST");
    const auto [to, request] = node.last_attempt();
    const http_response response{.status = 200, .headers = {}, .body = "a"};
    auto earlier_id = request.id;
    earlier_id.start_incarnation = incarnation{4};
    node.dispatcher.on_reply(to, {.id = earlier_id, .result = response}, at(1ms));
    node.dispatcher.on_reply(node_id{77}, {.id = request.id, .result = response}, at(1ms));
    BOOST_TEST(node.results.empty());
    BOOST_TEST(node.counts.drops[drop_reason::crossed_reply] == 2U);
    node.dispatcher.on_reply(to, {.id = request.id, .result = response}, at(1ms));
    node.dispatcher.on_reply(to, {.id = request.id, .result = response}, at(1ms));
    BOOST_TEST(node.results.size() == 1U);
    BOOST_TEST(node.counts.drops[drop_reason::late_reply] == 1U);
}

// Guards against callers that wait until their deadline because a connection is silent.
BOOST_AUTO_TEST_CASE(silent_connection_is_replaced_and_queried) {
    fixture node;
    node.start("POST");
    const auto [to, request] = node.last_attempt();
    for (auto now = 0ms; now <= 1'100ms; now += 50ms) {
        node.dispatcher.on_timer(at(now));
    }
    BOOST_TEST(node.message_count<heartbeat>() >= 1U);
    BOOST_TEST((node.replaced_peers == std::vector<node_id>{to}));
    BOOST_TEST(node.message_count<attempt_query>() == 1U);
    node.dispatcher.on_status(to, {.id = request.id, .progress = attempt_progress::never_seen}, at(1'101ms));
    BOOST_TEST(node.attempt_count() == 2U);
    BOOST_TEST(node.counts.retries[retry_reason::never_seen] == 1U);
}

// Guards against queries to a dead host without a delay, and against a caller without a result at its deadline.
BOOST_AUTO_TEST_CASE(dead_peer_is_queried_with_delays_until_the_deadline) {
    fixture node;
    node.start("POST");
    const auto to = node.last_attempt().first;
    for (auto now = 0ms; now <= 10'000ms; now += 10ms) {
        const auto queries = node.message_count<attempt_query>();
        node.dispatcher.on_timer(at(now));
        if (node.message_count<attempt_query>() > queries || now == 0ms) {
            node.dispatcher.on_connection_lost(to, at(now));
        }
    }
    BOOST_TEST(node.message_count<attempt_query>() < 30U);
    BOOST_TEST(node.only_result_is_refusal(refusal_reason::peer_lost, run_state::unknown));
    BOOST_TEST(node.dispatcher.in_progress() == 0U);
    BOOST_TEST(!node.dispatcher.next_timer().has_value());
}

// Guards against an idempotent call that waits for a dead host, and against a wrong run state when the host has
// restarted or the request was not sent.
BOOST_AUTO_TEST_CASE(lost_peer_leads_to_a_retry_or_a_refusal) {
    fixture get;
    get.start("GET");
    const auto first = get.last_attempt().first;
    get.dispatcher.on_connection_lost(first, at(1ms));
    get.dispatcher.on_connection_lost(first, at(2ms));
    BOOST_TEST(get.attempt_count() == 2U);
    BOOST_TEST((get.last_attempt().first != first));
    fixture post;
    post.start("POST");
    const auto [to, request] = post.last_attempt();
    post.dispatcher.on_status(to, {.id = request.id, .progress = attempt_progress::lost}, at(1ms));
    BOOST_TEST(post.only_result_is_refusal(refusal_reason::peer_restarted, run_state::unknown));
    fixture unsent;
    unsent.start("POST");
    unsent.dispatcher.on_not_sent(unsent.last_attempt().second.id, at(1ms));
    BOOST_TEST(unsent.attempt_count() == 2U);
    BOOST_TEST(unsent.counts.retries[retry_reason::peer_unreachable] == 1U);
}

// Guards against a retry storm: if every call is refused, there are a tenth more attempts, not three times as many.
BOOST_AUTO_TEST_CASE(retry_budget_bounds_attempts) {
    fixture node;
    for (auto i = 0; i < 1'000; ++i) {
        node.start("POST");
        for (auto before = node.results.size(); node.results.size() == before;) {
            node.refuse_last_attempt(refusal_reason::queue_full, run_state::not_run);
        }
    }
    BOOST_TEST(node.attempt_count() <= 1'122U);
    BOOST_TEST(node.counts.refusals[refusal_reason::retry_budget_exhausted] > 0U);
}

// Guards against a result for a disconnected caller, and against an upstream that goes on with its request.
BOOST_AUTO_TEST_CASE(cancelled_call_gets_no_result) {
    fixture node;
    const auto call = node.start("POST");
    node.dispatcher.cancel(call, at(1ms));
    BOOST_TEST(node.message_count<attempt_cancel>() == 1U);
    node.refuse_last_attempt(refusal_reason::cancelled, run_state::not_run);
    BOOST_TEST(node.results.empty());
    BOOST_TEST(node.counts.drops[drop_reason::late_reply] == 1U);
    BOOST_TEST(node.dispatcher.in_progress() == 0U);
}

// Guards against a report that names the configuration in force at the end of a call instead of the one that decided
// its route.
BOOST_AUTO_TEST_CASE(reports_name_the_configuration_that_decided_the_route) {
    std::uint64_t config_version = 7;
    std::vector<call_event> events;
    call_dispatcher_options options;
    options.config_version = [&config_version] {
        return config_version;
    };
    options.report = [&events](const call_event& event) {
        events.push_back(event);
    };
    fixture node{options};
    node.start("GET");
    config_version = 8;
    node.refuse_last_attempt(refusal_reason::queue_full, run_state::not_run);
    node.refuse_last_attempt(refusal_reason::queue_full, run_state::not_run);
    BOOST_REQUIRE(events.size() == 3U);
    for (const auto& event : events) {
        BOOST_TEST(event.config_version == 7U);
    }
    BOOST_TEST((events.back().step == call_step::refused));
}

// Guards against calls without a route that leave no trace of the configuration that lacked it.
BOOST_AUTO_TEST_CASE(calls_without_a_route_are_reported) {
    std::vector<call_event> events;
    call_dispatcher_options options;
    options.config_version = [] {
        return std::uint64_t{7};
    };
    options.report = [&events](const call_event& event) {
        events.push_back(event);
    };
    fixture node{options};
    node.dispatcher.start({.request_id = "abc", .target = "/none"}, at(0s));
    BOOST_REQUIRE(events.size() == 1U);
    BOOST_TEST((events.front().step == call_step::refused));
    BOOST_TEST(events.front().request_id == "abc");
    BOOST_TEST((events.front().reason == refusal_reason::no_route));
    BOOST_TEST((events.front().run == run_state::not_run));
    BOOST_TEST(events.front().config_version == 7U);
    BOOST_TEST(node.only_result_is_refusal(refusal_reason::no_route, run_state::not_run));
}

BOOST_AUTO_TEST_SUITE_END()
