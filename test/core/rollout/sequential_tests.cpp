#include "goldcrestwell/core/rollout/mixture_test.hpp"
#include "goldcrestwell/core/rollout/posterior_test.hpp"
#include "goldcrestwell/core/rollout/rollout_evidence.hpp"
#include "goldcrestwell/core/rollout/spending_test.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace goldcrestwell;
using namespace std::chrono_literals;

namespace {

std::vector<sequential_test> all_tests() {
    return {make_mixture_test(0.001), make_spending_test(0.001), make_posterior_test(0.999)};
}

evidence_window window(const std::uint32_t calls, const std::uint32_t failures, const std::size_t bucket) {
    evidence_window sums{.row = {}, .calls = calls, .failures = failures};
    sums.latencies[bucket] = calls - failures;
    return sums;
}

time_sample at(const std::chrono::seconds time) {
    return {.steady = steady_time{time}, .wall = wall_time{time}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(sequential_tests)

// Guards against a test that misses a clear fault or rolls back without evidence.
BOOST_AUTO_TEST_CASE(all_tests_agree_on_clear_cases) {
    for (const auto& test : all_tests()) {
        const std::vector<stratum> failing{{30, 25, 3000, 3}};
        const std::vector<stratum> alike{{300, 3, 30000, 300}};
        BOOST_TEST((test(failing) == verdict::roll_back));
        BOOST_TEST((test(alike) == verdict::advance));
        BOOST_TEST((test({}) == verdict::advance));
    }
}

// Guards against a rollback for a single failure, which any version may have.
BOOST_AUTO_TEST_CASE(one_failure_does_not_roll_back) {
    for (const auto& test : all_tests()) {
        const std::vector<stratum> once{{40, 1, 4000, 8}};
        BOOST_TEST((test(once) != verdict::roll_back));
    }
}

// Guards against a rollback for a fault that affects both versions while the candidate gets most calls.
BOOST_AUTO_TEST_CASE(common_fault_in_one_period_does_not_roll_back) {
    const std::vector<stratum> strata{{10, 0, 1000, 1}, {500, 250, 500, 250}};
    BOOST_TEST((make_mixture_test(0.001)(strata) == verdict::advance));
    BOOST_TEST((make_spending_test(0.001)(strata) == verdict::advance));
}

// Guards against a slow version that passes because none of its calls fail.
BOOST_AUTO_TEST_CASE(slow_version_is_found_by_latency) {
    rollout_evidence evidence;
    evidence.add_baseline(window(1000, 0, 10), at(1s));
    evidence.add_candidate(window(50, 0, 14), at(1s));
    const auto outcome = evidence.judge(make_mixture_test(0.001), evidence_scope::all);
    BOOST_TEST((outcome.result == verdict::roll_back));
    BOOST_TEST((outcome.reason == rollback_reason::latency));
}

// Guards against a late fault that is hidden by many earlier good calls while the baseline no longer gets any calls.
BOOST_AUTO_TEST_CASE(late_fault_is_found_without_baseline_calls) {
    rollout_evidence evidence;
    for (auto time = 1s; time < 100s; ++time) {
        evidence.add_baseline(window(50, 0, 10), at(time));
        evidence.add_candidate(window(50, 0, 10), at(time));
    }
    evidence.start_stage(at(100s));
    for (auto time = 101s; time < 130s; ++time) {
        evidence.add_candidate(window(50, time < 120s ? 0 : 5, 10), at(time));
    }
    BOOST_TEST((evidence.judge(make_mixture_test(0.001), evidence_scope::all).result == verdict::roll_back));
    BOOST_TEST((evidence.judge(make_mixture_test(0.001), evidence_scope::concurrent).result == verdict::advance));
}

BOOST_AUTO_TEST_SUITE_END()
