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

// Guards against a test that misses a plain fault or blames a version without evidence.
BOOST_AUTO_TEST_CASE(plain_cases_are_judged_alike) {
    for (const auto& test : all_tests()) {
        const std::vector<stratum> failing{{30, 25, 3000, 3}};
        const std::vector<stratum> alike{{300, 3, 30000, 300}};
        BOOST_TEST((test(failing) == verdict::take_back));
        BOOST_TEST((test(alike) == verdict::go_on));
        BOOST_TEST((test({}) == verdict::go_on));
    }
}

// Guards against a version taken back for one failure, which any version may have.
BOOST_AUTO_TEST_CASE(one_failure_is_no_proof) {
    for (const auto& test : all_tests()) {
        const std::vector<stratum> once{{40, 1, 4000, 8}};
        BOOST_TEST((test(once) != verdict::take_back));
    }
}

// Guards against blaming the candidate for a fault that hits both versions while the candidate has most calls.
BOOST_AUTO_TEST_CASE(common_fault_in_one_span_is_not_attributed) {
    const std::vector<stratum> strata{{10, 0, 1000, 1}, {500, 250, 500, 250}};
    BOOST_TEST((make_mixture_test(0.001)(strata) == verdict::go_on));
    BOOST_TEST((make_spending_test(0.001)(strata) == verdict::go_on));
}

// Guards against a slow version that passes because none of its calls fails.
BOOST_AUTO_TEST_CASE(slow_version_is_found_by_latency) {
    rollout_evidence evidence;
    evidence.add_baseline(window(1000, 0, 10), at(1s));
    evidence.add_candidate(window(50, 0, 14), at(1s));
    const auto judged = evidence.judge(make_mixture_test(0.001), evidence_scope::all);
    BOOST_TEST((judged.result == verdict::take_back));
    BOOST_TEST((judged.reason == rollback_reason::latency));
}

// Guards against a late fault that is hidden by many earlier good calls, with no call left at the old version.
BOOST_AUTO_TEST_CASE(late_fault_is_found_without_calls_of_the_old_version) {
    rollout_evidence evidence;
    for (auto time = 1s; time < 100s; ++time) {
        evidence.add_baseline(window(50, 0, 10), at(time));
        evidence.add_candidate(window(50, 0, 10), at(time));
    }
    evidence.start_stage(at(100s));
    for (auto time = 101s; time < 130s; ++time) {
        evidence.add_candidate(window(50, time < 120s ? 0 : 5, 10), at(time));
    }
    BOOST_TEST((evidence.judge(make_mixture_test(0.001), evidence_scope::all).result == verdict::take_back));
    BOOST_TEST((evidence.judge(make_mixture_test(0.001), evidence_scope::concurrent).result == verdict::go_on));
}

BOOST_AUTO_TEST_SUITE_END()
