#include "core/call/call_network.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>
#include <utility>

using namespace goldcrestwell;

namespace {

using seed_range = std::pair<std::uint64_t, std::uint64_t>;

/** @return The seeds of this run: fixed ones, or `GOLDCRESTWELL_SEEDS=first:last`. */
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

// Guards against a second run of a non-idempotent request, an untruthful refusal, a lost, repeated or foreign answer,
// and work cut by a drain, under lost, repeated, late and reordered frames, broken and silent connections, pauses and
// restarts.
BOOST_AUTO_TEST_CASE(every_caller_gets_one_truthful_result) {
    const auto [first, last] = seeds();
    test::history_coverage all;
    test::history_faults sum;
    for (auto seed = first; seed <= last; ++seed) {
        test::call_network network{seed};
        network.run();
        const auto found = network.faults();
        const auto seen = network.coverage();
        BOOST_TEST(found.total() == 0U, "seed " << seed << ": ran twice " << found.ran_twice << ", false not_run "
                                                << found.false_not_run << ", missing " << found.results_missing
                                                << ", repeated " << found.results_repeated << ", wrong answers "
                                                << found.wrong_answers << ", cut by drain " << found.cut_by_drain
                                                << ", violations " << found.violations);
        sum.ran_twice += found.ran_twice;
        sum.false_not_run += found.false_not_run;
        sum.results_missing += found.results_missing;
        sum.wrong_answers += found.wrong_answers;
        sum.cut_by_drain += found.cut_by_drain;
        sum.violations += found.violations;
        all.calls += seen.calls;
        all.answered += seen.answered;
        all.not_run += seen.not_run;
        all.unknown += seen.unknown;
        all.retries += seen.retries;
        all.late_replies += seen.late_replies;
        all.never_seen += seen.never_seen;
        all.restarts += seen.restarts;
    }
    BOOST_TEST_MESSAGE("calls " << all.calls << ", answered " << all.answered << ", not run " << all.not_run
                                << ", unknown " << all.unknown << ", retries " << all.retries << ", late replies "
                                << all.late_replies << ", never seen " << all.never_seen << ", restarts "
                                << all.restarts);
    BOOST_TEST_MESSAGE("faults: ran twice " << sum.ran_twice << ", false not_run " << sum.false_not_run << ", missing "
                                            << sum.results_missing << ", wrong answers " << sum.wrong_answers
                                            << ", cut by drain " << sum.cut_by_drain << ", violations "
                                            << sum.violations);
    BOOST_TEST(all.answered > all.calls / 4);
    BOOST_TEST(all.retries > 0U);
    BOOST_TEST(all.late_replies > 0U);
    BOOST_TEST(all.never_seen > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
