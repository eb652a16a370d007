#include "goldcrestwell/core/rollout/trial_schedule.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <set>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** @brief Load of an upstream on trial in its burst, in parts of its load after the move; and the mean share. */
struct trial_load {
    double relative{};
    double mean{};
};

trial_load load_of(const trial_population population) {
    constexpr milliseconds step{1};
    constexpr seconds length{6};
    const trial_schedule schedule;
    double sum = 0.0;
    double largest = 0.0;
    for (milliseconds at{}; at < length; at += step) {
        const auto part = static_cast<double>(schedule.share_at(at, population).value()) / full_share.value();
        sum += part;
        largest = std::max(largest, part / static_cast<double>(schedule.turn_at(at, population).count));
    }
    return {.relative = largest * static_cast<double>(population.candidates),
            .mean = sum / static_cast<double>(milliseconds{length} / step)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(trial_bursts)

// Guards against a fault that shows under load only and is met after the trial, with all traffic on the version: with
// seven calls in a hundred spread over time, an upstream on trial had a third of its later load.
BOOST_AUTO_TEST_CASE(upstream_on_trial_gets_the_load_of_the_complete_move) {
    constexpr std::array<trial_population, 5> populations{{{.candidates = 3, .current = 3},
                                                           {.candidates = 5, .current = 10},
                                                           {.candidates = 10, .current = 10},
                                                           {.candidates = 32, .current = 65},
                                                           {.candidates = 65, .current = 65}}};
    for (const auto& population : populations) {
        BOOST_TEST_CONTEXT(population.candidates << " of " << population.current) {
            const auto load = load_of(population);
            BOOST_TEST(load.relative >= 1.0);
            // A tenth of all calls may reach a faulty version.
            BOOST_TEST(load.mean <= 0.1);
        }
    }
}

// Guards against a faulty host that is the only one on trial, or a faulty version judged at one host.
BOOST_AUTO_TEST_CASE(turns_visit_several_upstreams) {
    constexpr trial_population population{.candidates = 5, .current = 10};
    const trial_schedule schedule;
    std::set<std::size_t> visited;
    for (milliseconds at{}; at < seconds{6}; at += milliseconds{500}) {
        const auto turn = schedule.turn_at(at, population);
        BOOST_TEST(turn.first < population.candidates);
        visited.insert(turn.first);
    }
    BOOST_TEST(visited.size() >= 4U);
}

BOOST_AUTO_TEST_SUITE_END()
