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

std::vector<upstream_candidate> group(const std::size_t locals, const std::size_t others) {
    std::vector<upstream_candidate> made;
    for (std::size_t i = 0; i < locals + others; ++i) {
        made.push_back({.node = node_id{i + 1}, .slots = 10, .local = i < locals, .since = {}});
    }
    return made;
}

/** @return Calls per node when a call of 20 ms starts every millisecond. */
std::map<node_id, int> spread(upstream_selector& selector, const std::vector<upstream_candidate>& candidates,
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
        for (const auto& [liar, load] : false_reports) {
            selector.on_load(liar, load, now);
        }
    }
    return calls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_selector_suite)

// Guards against a node that is starved because it reports too much load, or flooded because it reports none.
BOOST_AUTO_TEST_CASE(false_reports_neither_starve_nor_flood) {
    const auto candidates = group(10, 0);
    upstream_selector selector{{.seed = 1}};
    const auto calls = spread(selector, candidates, {{node_id{1}, 1'000'000}, {node_id{2}, 0}});
    BOOST_TEST(calls.at(node_id{1}) > 200); // a fair part is 2,000
    BOOST_TEST(calls.at(node_id{2}) < 6'000);
    BOOST_TEST(calls.size() == 10U);
}

// Guards against calls that leave the data centre without need, or stay in it when it is full.
BOOST_AUTO_TEST_CASE(local_first_with_spill_over) {
    const auto candidates = group(2, 8);
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

// Guards against a cold upstream that gets a full part of the calls at once.
BOOST_AUTO_TEST_CASE(slow_start_holds_back_a_new_upstream) {
    auto candidates = group(10, 0);
    candidates.back().since = start;
    upstream_selector selector{{.seed = 1, .slow_start = 1'000s}};
    const auto calls = spread(selector, candidates, {});
    BOOST_TEST(calls.at(node_id{10}) < 1'000);
    BOOST_TEST(calls.at(node_id{10}) > 0);
}

// Load pattern: rolling restart of nodes while their upstreams go on running. Guards against a warm upstream that gets
// a tenth of its part of the calls after the node beside it has come back.
BOOST_AUTO_TEST_CASE(warm_upstream_gets_its_full_part_at_once) {
    auto candidates = group(10, 0);
    candidates.back().since = start;
    candidates.back().warm = true;
    upstream_selector selector{{.seed = 1, .slow_start = 1'000s}};
    const auto calls = spread(selector, candidates, {});
    BOOST_REQUIRE(calls.size() == candidates.size());
    const auto most = std::ranges::max_element(calls, {}, [](const auto& entry) { return entry.second; })->second;
    BOOST_TEST(calls.at(node_id{10}) * 10 > most * 8);
}

// Guards against a retry at a node that was tried, also when only one of many nodes is left.
BOOST_AUTO_TEST_CASE(tried_nodes_are_avoided) {
    const auto candidates = group(20, 20);
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

// Guards against a caller-side limit that refuses calls although it is only a hint.
BOOST_AUTO_TEST_CASE(limit_prefers_other_nodes_but_refuses_nothing) {
    const auto candidates = group(2, 0);
    upstream_selector selector{{.seed = 1}};
    for (auto i = 0; i < 3; ++i) {
        selector.on_started(node_id{1});
    }
    for (auto i = 0; i < 20; ++i) {
        BOOST_TEST((selector.select(candidates, {}, start, 3) == node_id{2}));
    }
    BOOST_TEST(selector.select(candidates, {node_id{2}}, start, 3).has_value());
}

// Guards against ejecting so many nodes that the rest is overloaded.
BOOST_AUTO_TEST_CASE(at_most_half_is_ejected) {
    outlier_detector detector;
    for (std::size_t node = 1; node <= 7; ++node) {
        for (auto i = 0; i < 10; ++i) {
            detector.on_failure(node_id{node}, 7, start);
        }
    }
    BOOST_TEST(detector.ejected(start) == 3U);
}

// Guards against a node that returns at full traffic, or that is not ejected for longer when it fails again.
BOOST_AUTO_TEST_CASE(ejected_node_returns_on_trial) {
    outlier_detector detector{{.failures_in_a_row = 5, .first_ejection = 2s, .longest_ejection = 60s}};
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

// Guards against retries that multiply the load of a service in trouble.
BOOST_AUTO_TEST_CASE(retry_budget_is_a_tenth_of_the_calls) {
    retry_budget budget;
    std::size_t spent = 0;
    for (auto i = 0; i < 10'000; ++i) {
        const time_sample now{.steady = start + i * 1ms, .wall = {}};
        budget.on_call(now);
        spent += budget.spend(now) ? 1 : 0;
    }
    BOOST_TEST(spent >= 1'000U);
    BOOST_TEST(spent <= 1'031U); // a tenth, 10 s of the floor, and the 20 saved
}

BOOST_AUTO_TEST_SUITE_END()
