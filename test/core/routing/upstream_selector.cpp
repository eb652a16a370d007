#include "goldcrestwell/core/routing/upstream_selector.hpp"

#include "goldcrestwell/core/routing/outlier_detector.hpp"
#include "goldcrestwell/core/routing/retry_budget.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace goldcrestwell;
using namespace std::chrono_literals;

namespace {

constexpr steady_time start{1'000s};

std::vector<upstream_candidate> make_candidates(const std::size_t locals, const std::size_t others) {
    std::vector<upstream_candidate> candidates;
    for (std::size_t i = 0; i < locals + others; ++i) {
        candidates.push_back({.node = node_id{i + 1}, .slots = 10, .local = i < locals, .announced_at = {}});
    }
    return candidates;
}

/** @brief Returns the number of calls per node when a call of 20 ms starts every millisecond. */
std::map<node_id, int> count_calls_by_node(upstream_selector& selector,
                                           const std::vector<upstream_candidate>& candidates,
                                           const std::map<node_id, std::uint32_t>& false_reports) {
    std::map<node_id, int> calls;
    std::vector<node_id> running;
    for (auto i = 0; i < 20'000; ++i) {
        const auto now = start + i * 1ms;
        if (running.size() == 20) {
            selector.on_finished(running.front(), selection_outcome::success, now);
            running.erase(running.begin());
        }
        const auto node = selector.select(candidates, {}, now).value();
        selector.on_started(node);
        running.push_back(node);
        ++calls[node];
        for (const auto& [reporting_node, load] : false_reports) {
            selector.on_load(reporting_node, load, now);
        }
    }
    return calls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_selector_suite)

// Guards against starving a node that reports too much load, and against flooding a node that reports none.
BOOST_AUTO_TEST_CASE(false_reports_neither_starve_nor_flood) {
    const auto candidates = make_candidates(10, 0);
    upstream_selector selector{{.seed = 1}};
    const auto calls = count_calls_by_node(selector, candidates, {{node_id{1}, 1'000'000}, {node_id{2}, 0}});
    BOOST_TEST(calls.at(node_id{1}) > 200); // an equal share is 2,000
    BOOST_TEST(calls.at(node_id{2}) < 6'000);
    BOOST_TEST(calls.size() == 10U);
}

// Guards against calls to another data centre while local slots are free, and against local calls when they are not.
BOOST_AUTO_TEST_CASE(local_nodes_are_preferred_until_full) {
    const auto candidates = make_candidates(2, 8);
    upstream_selector selector{{.seed = 1}};
    std::size_t remote = 0;
    for (auto i = 0; i < 60; ++i) {
        const auto node = selector.select(candidates, {}, start).value();
        selector.on_started(node);
        const auto is_remote = node.value() > 2;
        remote += is_remote ? 1 : 0;
        BOOST_TEST((i >= 18 || !is_remote));
    }
    BOOST_TEST(remote > 30U);
}

// Guards against a cold upstream that gets its full share of the calls at once.
BOOST_AUTO_TEST_CASE(slow_start_limits_a_new_upstream) {
    auto candidates = make_candidates(10, 0);
    candidates.back().announced_at = start;
    upstream_selector selector{{.seed = 1, .slow_start = 1'000s}};
    const auto calls = count_calls_by_node(selector, candidates, {});
    BOOST_TEST(calls.at(node_id{10}) < 1'000);
    BOOST_TEST(calls.at(node_id{10}) > 0);
}

// Guards against slow start for a warm upstream, which would get a tenth of its share of the calls: in a rolling
// restart of the nodes, their upstreams keep running.
BOOST_AUTO_TEST_CASE(warm_upstream_gets_its_full_share_at_once) {
    auto candidates = make_candidates(10, 0);
    candidates.back().announced_at = start;
    candidates.back().warm = true;
    upstream_selector selector{{.seed = 1, .slow_start = 1'000s}};
    const auto calls = count_calls_by_node(selector, candidates, {});
    BOOST_REQUIRE(calls.size() == candidates.size());
    const auto most = std::ranges::max_element(calls, {}, [](const auto& entry) { return entry.second; })->second;
    BOOST_TEST(calls.at(node_id{10}) * 10 > most * 8);
}

// Guards against a retry at a node that already had an attempt, even if only one of many nodes is left.
BOOST_AUTO_TEST_CASE(nodes_with_an_earlier_attempt_are_not_selected) {
    const auto candidates = make_candidates(20, 20);
    upstream_selector selector{{.seed = 1}};
    std::vector<node_id> tried;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto node = selector.select(candidates, tried, start);
        BOOST_REQUIRE(node.has_value());
        BOOST_TEST((std::ranges::find(tried, *node) == tried.end()));
        tried.push_back(*node);
    }
    BOOST_TEST(!selector.select(candidates, tried, start).has_value());
}

// Guards against refusing calls because of the caller-side limit, which is only a preference.
BOOST_AUTO_TEST_CASE(limit_prefers_other_nodes_but_refuses_nothing) {
    const auto candidates = make_candidates(2, 0);
    upstream_selector selector{{.seed = 1}};
    for (auto i = 0; i < 3; ++i) {
        selector.on_started(node_id{1});
    }
    for (auto i = 0; i < 20; ++i) {
        BOOST_TEST((selector.select(candidates, {}, start, 3) == node_id{2}));
    }
    BOOST_TEST(selector.select(candidates, {node_id{2}}, start, 3).has_value());
}

// Guards against ejecting so many nodes that the remaining ones are overloaded.
BOOST_AUTO_TEST_CASE(at_most_half_of_the_nodes_are_ejected) {
    outlier_detector detector;
    for (std::size_t node = 1; node <= 7; ++node) {
        for (auto i = 0; i < 10; ++i) {
            detector.on_failure(node_id{node}, 7, start);
        }
    }
    BOOST_TEST(detector.ejected_count(start) == 3U);
}

// Guards against full traffic to a node right after its ejection, and against an equally short second ejection.
BOOST_AUTO_TEST_CASE(node_is_on_probation_after_an_ejection) {
    outlier_detector detector{{.consecutive_failures = 5, .base_ejection_time = 2s, .max_ejection_time = 60s}};
    for (auto i = 0; i < 5; ++i) {
        BOOST_TEST(detector.admits(node_id{1}, 0, start));
        detector.on_failure(node_id{1}, 4, start);
    }
    BOOST_TEST(!detector.admits(node_id{1}, 0, start + 1'999ms));
    BOOST_TEST(detector.admits(node_id{1}, 0, start + 2s));
    BOOST_TEST(!detector.admits(node_id{1}, 1, start + 2s));
    detector.on_failure(node_id{1}, 4, start + 2s);
    BOOST_TEST(!detector.admits(node_id{1}, 0, start + 5'999ms));
    BOOST_TEST(detector.admits(node_id{1}, 0, start + 6s));
    detector.on_success(node_id{1});
    BOOST_TEST(detector.admits(node_id{1}, 5, start + 6s));
}

// Guards against retries that multiply the load of a failing service.
BOOST_AUTO_TEST_CASE(retry_budget_is_a_tenth_of_the_calls) {
    retry_budget budget;
    std::size_t spent = 0;
    for (auto i = 0; i < 10'000; ++i) {
        const time_sample now{.steady = start + i * 1ms, .wall = {}};
        budget.on_call(now);
        spent += budget.try_spend(now) ? 1 : 0;
    }
    BOOST_TEST(spent >= 1'000U);
    BOOST_TEST(spent <= 1'031U); // a tenth of the calls, 10 s at one per second, and the initial 20
}

BOOST_AUTO_TEST_SUITE_END()
