#include "goldcrestwell/core/call/call_dispatcher.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace goldcrestwell;
using namespace std::chrono_literals;

namespace {

const node_id self{100};

time_sample at(const std::chrono::microseconds passed) {
    return {.steady = steady_time{1'000s} + passed, .wall = {}};
}

struct fixture {
    explicit fixture(call_dispatcher_options options = {}) : dispatcher{complete(std::move(options))} {
        for (std::uint64_t i = 1; i <= 4; ++i) {
            nodes.push_back({.node = node_id{i}, .slots = 10, .local = true, .since = {}});
        }
    }

    call_dispatcher_options complete(call_dispatcher_options options) {
        options.self = self;
        options.start_incarnation = incarnation{5};
        options.find_route = [](const call_request& call) -> std::optional<route_view> {
            return call.target == "/none" ? std::nullopt : std::optional{route_view{.route = {"/"}, .service = {"s"}}};
        };
        options.terms = [this](const row_key&) {
            return terms;
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
            sent.emplace_back(to, message);
        };
        options.replace_connection = [this](const node_id peer) {
            replaced.push_back(peer);
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
    /** @return The last attempt that was sent, and to whom. */
    [[nodiscard]] std::pair<node_id, attempt_request> last() const {
        const auto found = std::find_if(sent.rbegin(), sent.rend(), [](const auto& item) {
            return std::holds_alternative<attempt_request>(item.second);
        });
        return {found->first, std::get<attempt_request>(found->second)};
    }
    void refuse_last(const refusal_reason reason, const run_state state, const time_sample now = at(1ms)) {
        const auto [to, request] = last();
        dispatcher.on_reply(to, {.id = request.id, .result = call_refusal{.reason = reason, .state = state}}, now);
    }
    [[nodiscard]] std::size_t attempts() const { return count<attempt_request>(); }
    template <typename Message>
    [[nodiscard]] std::size_t count() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(sent, [](const auto& item) { return std::holds_alternative<Message>(item.second); }));
    }
    [[nodiscard]] bool refused(const refusal_reason reason, const run_state state) const {
        const auto* found = results.size() == 1 ? std::get_if<call_refusal>(&results.front()) : nullptr;
        return found != nullptr && *found == call_refusal{.reason = reason, .state = state};
    }

    row_terms terms;
    std::vector<upstream_candidate> nodes;
    std::vector<version_share> shares{{.version = {"old"}, .share = full_share}};
    std::vector<std::pair<node_id, peer_message>> sent;
    std::vector<node_id> replaced;
    std::vector<call_result> results;
    counters counts;
    invariant_monitor invariants;
    call_dispatcher dispatcher;
};

} // namespace

BOOST_AUTO_TEST_SUITE(call_dispatcher_suite)

// Load: every upstream of a service is full. Tries that reached none of them must leave the budget to real failures.
BOOST_AUTO_TEST_CASE(tries_that_reached_no_upstream_cost_no_budget) {
    call_dispatcher_options options;
    options.max_redirects = 1;
    options.retries = {.per_call = 0.0, .per_second = 0.0, .saved = 1.0};
    fixture node{options};
    for (int call = 0; call < 3; ++call) {
        node.start("GET");
        node.refuse_last(refusal_reason::queue_full, run_state::not_run);
        node.refuse_last(refusal_reason::queue_full, run_state::not_run);
    }
    BOOST_TEST(node.attempts() == 6U);
    BOOST_TEST(node.counts.refusals[refusal_reason::queue_full] == 3U);
    node.start("GET");
    node.refuse_last(refusal_reason::upstream_reset, run_state::unknown);
    BOOST_TEST(node.attempts() == 8U);
}

// Guards against losing an answer that is there: the second try of a failing one may end worse.
BOOST_AUTO_TEST_CASE(failing_answer_is_kept_while_another_upstream_is_tried) {
    fixture node;
    node.terms = {.idempotent = true, .retry_failed_answers = true};
    node.start("GET");
    const auto [to, request] = node.last();
    node.dispatcher.on_reply(to, {.id = request.id, .result = http_response{.status = 500}}, at(1ms));
    BOOST_TEST(node.attempts() == 2U);
    BOOST_TEST(node.results.empty());
    node.refuse_last(refusal_reason::queue_full, run_state::not_run);
    BOOST_REQUIRE(node.results.size() == 1U);
    BOOST_TEST(std::get<http_response>(node.results.front()).status == 500U);
}

// Guards against a retry of a request that may have run and must not run twice.
BOOST_AUTO_TEST_CASE(unknown_outcome_is_final_unless_idempotent) {
    fixture post;
    post.start("POST");
    post.refuse_last(refusal_reason::upstream_reset, run_state::unknown);
    BOOST_TEST(post.refused(refusal_reason::upstream_reset, run_state::unknown));
    BOOST_TEST(post.attempts() == 1U);
    fixture get;
    get.start("GET");
    get.refuse_last(refusal_reason::upstream_reset, run_state::unknown);
    BOOST_TEST(get.attempts() == 2U);
    get.refuse_last(refusal_reason::queue_full, run_state::not_run);
    BOOST_TEST(get.refused(refusal_reason::queue_full, run_state::unknown));
    BOOST_TEST(get.counts.retries[retry_reason::idempotent_upstream_failure] == 1U);
}

// Guards against a retry at the same node, with the same id, or for ever.
BOOST_AUTO_TEST_CASE(retries_go_elsewhere_and_end) {
    fixture node;
    node.shares = {{.version = {"old"}, .share = share{500'000}}, {.version = {"new"}, .share = share{500'000}}};
    node.start("POST");
    std::vector<node_id> targets;
    std::vector<std::uint64_t> ids;
    while (node.results.empty()) {
        targets.push_back(node.last().first);
        ids.push_back(node.last().second.id.sequence);
        node.refuse_last(refusal_reason::draining, run_state::not_run);
    }
    BOOST_TEST(targets.size() == 3U);
    std::ranges::sort(targets);
    std::ranges::sort(ids);
    BOOST_TEST((std::ranges::adjacent_find(targets) == targets.end()));
    BOOST_TEST((std::ranges::adjacent_find(ids) == ids.end()));
    BOOST_TEST(node.refused(refusal_reason::draining, run_state::not_run));
}

// Guards against calls that fail with a failing candidate although the old version has a share.
BOOST_AUTO_TEST_CASE(failing_candidate_falls_back_to_the_old_version) {
    fixture node;
    node.shares = {{.version = {"old"}, .share = share{400'000}}, {.version = {"new"}, .share = share{600'000}}};
    while (node.attempts() == 0 || node.last().second.version.value != "new") {
        node.start("POST");
    }
    const auto before = node.attempts();
    node.refuse_last(refusal_reason::upstream_failing, run_state::not_run);
    BOOST_TEST(node.last().second.version.value == "old");
    BOOST_TEST(node.attempts() == before + 1);
}

// Guards against an endless loop of nodes, a call without a route, and a deadline that does not shrink.
BOOST_AUTO_TEST_CASE(request_checks) {
    fixture node;
    node.dispatcher.start({.method = "GET", .target = "/x", .headers = {}, .body = {}, .hops = 8}, at(0s));
    BOOST_TEST(node.refused(refusal_reason::too_many_hops, run_state::not_run));
    node.results.clear();
    node.dispatcher.start({.method = "GET", .target = "/none", .headers = {}, .body = {}}, at(0s));
    BOOST_TEST(node.refused(refusal_reason::no_route, run_state::not_run));
    node.start("POST");
    BOOST_TEST(node.last().second.call.hops == 3U);
    const auto first = node.last().second.call.timeout;
    node.refuse_last(refusal_reason::queue_full, run_state::not_run, at(4s));
    BOOST_TEST((node.last().second.call.timeout == first - 4s));
}

// Guards against an answer that reaches the wrong caller or a caller that has its result already.
BOOST_AUTO_TEST_CASE(late_and_crossed_replies_are_dropped) {
    fixture node;
    node.start("POST");
    const auto [to, request] = node.last();
    const http_response answer{.status = 200, .headers = {}, .body = "a"};
    auto earlier_life = request.id;
    earlier_life.start_incarnation = incarnation{4};
    node.dispatcher.on_reply(to, {.id = earlier_life, .result = answer}, at(1ms));
    node.dispatcher.on_reply(node_id{77}, {.id = request.id, .result = answer}, at(1ms));
    BOOST_TEST(node.results.empty());
    BOOST_TEST(node.counts.drops[drop_reason::crossed_reply] == 2U);
    node.dispatcher.on_reply(to, {.id = request.id, .result = answer}, at(1ms));
    node.dispatcher.on_reply(to, {.id = request.id, .result = answer}, at(1ms));
    BOOST_TEST(node.results.size() == 1U);
    BOOST_TEST(node.counts.drops[drop_reason::late_reply] == 1U);
}

// Guards against callers that wait for their deadline because a connection has gone silent.
BOOST_AUTO_TEST_CASE(silent_connection_is_replaced_and_queried) {
    fixture node;
    node.start("POST");
    const auto [to, request] = node.last();
    for (auto now = 0ms; now <= 1'100ms; now += 50ms) {
        node.dispatcher.on_timer(at(now));
    }
    BOOST_TEST(node.count<heartbeat>() >= 1U);
    BOOST_TEST((node.replaced == std::vector<node_id>{to}));
    BOOST_TEST(node.count<attempt_query>() == 1U);
    node.dispatcher.on_status(to, {.id = request.id, .progress = attempt_progress::never_seen}, at(1'101ms));
    BOOST_TEST(node.attempts() == 2U);
    BOOST_TEST(node.counts.retries[retry_reason::never_seen] == 1U);
}

// Guards against a dead host that is asked without pause, and a caller without a result at its deadline.
BOOST_AUTO_TEST_CASE(dead_peer_is_queried_with_pauses_until_the_deadline) {
    fixture node;
    node.start("POST");
    const auto to = node.last().first;
    for (auto now = 0ms; now <= 10'000ms; now += 10ms) {
        const auto queries = node.count<attempt_query>();
        node.dispatcher.on_timer(at(now));
        if (node.count<attempt_query>() > queries || now == 0ms) {
            node.dispatcher.on_connection_lost(to, at(now));
        }
    }
    BOOST_TEST(node.count<attempt_query>() < 30U);
    BOOST_TEST(node.refused(refusal_reason::peer_lost, run_state::unknown));
    BOOST_TEST(node.dispatcher.in_progress() == 0U);
    BOOST_TEST(!node.dispatcher.next_timer().has_value());
}

// Guards against an idempotent call that waits for a dead host, and against a false answer when the host has restarted.
BOOST_AUTO_TEST_CASE(lost_peers) {
    fixture get;
    get.start("GET");
    const auto first = get.last().first;
    get.dispatcher.on_connection_lost(first, at(1ms));
    get.dispatcher.on_connection_lost(first, at(2ms));
    BOOST_TEST(get.attempts() == 2U);
    BOOST_TEST((get.last().first != first));
    fixture post;
    post.start("POST");
    const auto [to, request] = post.last();
    post.dispatcher.on_status(to, {.id = request.id, .progress = attempt_progress::lost}, at(1ms));
    BOOST_TEST(post.refused(refusal_reason::peer_restarted, run_state::unknown));
    fixture unsent;
    unsent.start("POST");
    unsent.dispatcher.on_not_sent(unsent.last().second.id, at(1ms));
    BOOST_TEST(unsent.attempts() == 2U);
    BOOST_TEST(unsent.counts.retries[retry_reason::peer_unreachable] == 1U);
}

// Guards against a retry storm: refusals of every call lead to a tenth more attempts, not to three times as many.
BOOST_AUTO_TEST_CASE(retry_budget_bounds_attempts) {
    fixture node;
    for (auto i = 0; i < 1'000; ++i) {
        node.start("POST");
        for (auto before = node.results.size(); node.results.size() == before;) {
            node.refuse_last(refusal_reason::queue_full, run_state::not_run);
        }
    }
    BOOST_TEST(node.attempts() <= 1'122U);
    BOOST_TEST(node.counts.refusals[refusal_reason::retry_budget_exhausted] > 0U);
}

// Guards against a result for a caller that went away and an upstream that keeps working for it.
BOOST_AUTO_TEST_CASE(cancelled_call_gets_no_result) {
    fixture node;
    const auto call = node.start("POST");
    node.dispatcher.cancel(call, at(1ms));
    BOOST_TEST(node.count<attempt_cancel>() == 1U);
    node.refuse_last(refusal_reason::cancelled, run_state::not_run);
    BOOST_TEST(node.results.empty());
    BOOST_TEST(node.counts.drops[drop_reason::late_reply] == 1U);
    BOOST_TEST(node.dispatcher.in_progress() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
