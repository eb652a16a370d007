#include "core/call/call_network.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>
#include <utility>

using namespace goldcrestwell;

namespace {

using seed_range = std::pair<std::uint64_t, std::uint64_t>;

/** @brief Returns the seeds of this run: a fixed range, or the one in `GOLDCRESTWELL_SEEDS=first:last`. */
seed_range seeds() {
    constexpr seed_range fixed{1, 20};
    const auto* text = std::getenv("GOLDCRESTWELL_SEEDS"); // NOLINT(concurrency-mt-unsafe)
    if (text == nullptr) {
        return fixed;
    }
    const std::string range{text};
    const auto colon = range.find(':');
    return colon == std::string::npos
               ? fixed
               : seed_range{std::stoull(range.substr(0, colon)), std::stoull(range.substr(colon + 1))};
}

} // namespace

BOOST_AUTO_TEST_SUITE(random_history)

// Guards against a second run of a non-idempotent request, a refusal that wrongly states `not_run`, a missing, repeated
// or wrong response, and calls aborted by a drain. The network loses, repeats, delays and reorders frames; connections
// break or fall silent, and nodes pause and restart.
BOOST_AUTO_TEST_CASE(every_caller_gets_one_truthful_result) {
    const auto [first, last] = seeds();
    test::history_coverage total_coverage;
    test::history_faults total_faults;
    for (auto seed = first; seed <= last; ++seed) {
        test::call_network network{seed};
        network.run();
        const auto faults = network.faults();
        const auto coverage = network.coverage();
        BOOST_TEST(faults.total() == 0U, "seed " << seed << ": ran twice " << faults.ran_twice << ", false not_run "
                                                 << faults.false_not_run << ", missing " << faults.results_missing
                                                 << ", repeated " << faults.results_repeated << ", wrong responses "
                                                 << faults.wrong_responses << ", cut by drain " << faults.cut_by_drain
                                                 << ", violations " << faults.violations);
        total_faults.ran_twice += faults.ran_twice;
        total_faults.false_not_run += faults.false_not_run;
        total_faults.results_missing += faults.results_missing;
        total_faults.wrong_responses += faults.wrong_responses;
        total_faults.cut_by_drain += faults.cut_by_drain;
        total_faults.violations += faults.violations;
        total_coverage.calls += coverage.calls;
        total_coverage.answered += coverage.answered;
        total_coverage.not_run += coverage.not_run;
        total_coverage.unknown += coverage.unknown;
        total_coverage.retries += coverage.retries;
        total_coverage.late_replies += coverage.late_replies;
        total_coverage.never_seen += coverage.never_seen;
        total_coverage.restarts += coverage.restarts;
    }
    BOOST_TEST_MESSAGE("calls " << total_coverage.calls << ", answered " << total_coverage.answered << ", not run "
                                << total_coverage.not_run << ", unknown " << total_coverage.unknown << ", retries "
                                << total_coverage.retries << ", late replies " << total_coverage.late_replies
                                << ", never seen " << total_coverage.never_seen << ", restarts "
                                << total_coverage.restarts);
    BOOST_TEST_MESSAGE("faults: ran twice "
                       << total_faults.ran_twice << ", false not_run " << total_faults.false_not_run << ", missing "
                       << total_faults.results_missing << ", wrong responses " << total_faults.wrong_responses
                       << ", cut by drain " << total_faults.cut_by_drain << ", violations " << total_faults.violations);
    BOOST_TEST(total_coverage.answered > total_coverage.calls / 4);
    BOOST_TEST(total_coverage.retries > 0U);
    BOOST_TEST(total_coverage.late_replies > 0U);
    BOOST_TEST(total_coverage.never_seen > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
