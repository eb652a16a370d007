#include "goldcrestwell/core/rollout/rollout_tally.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;

namespace {

evidence_window window(const std::uint32_t calls, const std::uint32_t failures, const std::size_t bucket = 10) {
    evidence_window result{.row = {.route = {"r"}, .version = {"v"}}, .calls = calls, .failures = failures};
    result.latencies[bucket] = calls - failures;
    return result;
}

std::optional<rollback_reason> judge(const evidence_window& baseline, const evidence_window& candidate) {
    rollout_tally tally;
    tally.add(node_id{1, 1}, baseline, false);
    tally.add(node_id{2, 1}, candidate, true);
    return tally.find_fault(1);
}

} // namespace

BOOST_AUTO_TEST_SUITE(rollout_tallies)

// Guards against a rollback of a good version for its usual errors.
BOOST_AUTO_TEST_CASE(usual_errors_are_no_fault) {
    BOOST_TEST(!judge(window(2'000, 8), window(100, 2)).has_value());
}

BOOST_AUTO_TEST_CASE(many_failures_are_a_fault) {
    BOOST_TEST((judge(window(300, 1), window(12, 6)) == rollback_reason::failures));
}

// Guards against a faulty version that passes in an overload: a quarter of the baseline's calls failed because a called
// service was overloaded, and a limit of three times that rate hid a candidate that failed half of its calls.
BOOST_AUTO_TEST_CASE(failures_of_both_versions_do_not_hide_a_fault) {
    BOOST_TEST((judge(window(400, 100), window(60, 38)) == rollback_reason::failures));
    BOOST_TEST(!judge(window(400, 100), window(60, 17)).has_value());
}

// Guards against a rollback of a good version because the host of one of its upstreams is slow and its calls time out.
BOOST_AUTO_TEST_CASE(one_failing_upstream_of_several_is_no_fault) {
    rollout_tally tally;
    tally.add(node_id{1, 1}, window(300, 1), false);
    tally.add(node_id{2, 1}, window(40, 20), true);
    tally.add(node_id{3, 1}, window(40, 0), true);
    BOOST_TEST(!tally.find_fault(2).has_value());
    tally.add(node_id{3, 1}, window(40, 20), true);
    BOOST_TEST((tally.find_fault(2) == rollback_reason::failures));
}

BOOST_AUTO_TEST_CASE(slow_responses_are_a_fault) {
    BOOST_TEST((judge(window(100, 0, 10), window(20, 0, 15)) == rollback_reason::latency));
    BOOST_TEST(!judge(window(100, 0, 10), window(20, 0, 12)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
