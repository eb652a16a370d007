#include "core/rollout/engine_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <cstdlib>
#include <string>

using namespace goldcrestwell;
using namespace goldcrestwell::test;

namespace {

struct seed_range {
    std::uint64_t first{1};
    std::uint64_t last{40};
};

seed_range chosen_seeds() {
    seed_range range;
    if (const auto* text = std::getenv("GOLDCRESTWELL_SEEDS"); text != nullptr) {
        char* rest = nullptr;
        range.first = std::strtoull(text, &rest, 10);
        range.last = *rest == ':' ? std::strtoull(rest + 1, nullptr, 10) : range.first;
    }
    return range;
}

} // namespace

BOOST_AUTO_TEST_SUITE(histories)

// Guards against replicas that disagree after faults, states that shrink, and traffic to a version that was rolled
// back.
BOOST_AUTO_TEST_CASE(engines_agree_after_random_faults) {
    const auto range = chosen_seeds();
    std::uint64_t rolled_back = 0;
    std::uint64_t finished = 0;
    std::uint64_t rechecked = 0;
    for (auto seed = range.first; seed <= range.last; ++seed) {
        engine_simulation simulation{seed};
        simulation.run_with_faults();
        simulation.heal();
        BOOST_TEST(simulation.all_agree(), "engines disagree, seed " << seed);
        BOOST_TEST(simulation.violations() == 0U, "invariant violated, seed " << seed);
        BOOST_TEST(simulation.rolled_back_with_traffic() == 0U,
                   "version that was rolled back got traffic, seed " << seed);
        BOOST_TEST(simulation.shrunk_states() == 0U, "a state shrank, seed " << seed);
        rolled_back += simulation.rolled_back_rollouts();
        finished += simulation.finished_rollouts();
        rechecked += simulation.rechecked_rollouts();
    }
    // Seeds without rollbacks, finished rollouts or rechecks would check nothing.
    BOOST_TEST_MESSAGE("rolled back " << rolled_back << ", finished " << finished << ", rechecked " << rechecked);
    if (range.last - range.first >= 39) {
        BOOST_TEST(rolled_back > 0U);
        BOOST_TEST(finished > 0U);
        BOOST_TEST(rechecked > 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
