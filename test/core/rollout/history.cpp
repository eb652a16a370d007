#include "core/rollout/history_network.hpp"

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

// Guards against replicas that disagree after faults, stages that go back, and traffic for a taken-back version.
BOOST_AUTO_TEST_CASE(engines_agree_after_any_history) {
    const auto range = chosen_seeds();
    std::uint64_t rolled_back = 0;
    std::uint64_t finished = 0;
    std::uint64_t rechecked = 0;
    for (auto seed = range.first; seed <= range.last; ++seed) {
        history_network network{seed};
        network.run_with_faults();
        network.heal();
        BOOST_TEST(network.all_agree(), "engines disagree, seed " << seed);
        BOOST_TEST(network.violations() == 0U, "invariant violated, seed " << seed);
        BOOST_TEST(network.taken_back_got_traffic() == 0U, "taken-back version got traffic, seed " << seed);
        BOOST_TEST(network.shrunk_states() == 0U, "a state shrank, seed " << seed);
        rolled_back += network.taken_back_moves();
        finished += network.finished_moves();
        rechecked += network.rechecked_moves();
    }
    // A range in which nothing was taken back, finished or rechecked would prove nothing.
    BOOST_TEST_MESSAGE("taken back " << rolled_back << ", finished " << finished << ", rechecked " << rechecked);
    if (range.last - range.first >= 39) {
        BOOST_TEST(rolled_back > 0U);
        BOOST_TEST(finished > 0U);
        BOOST_TEST(rechecked > 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
