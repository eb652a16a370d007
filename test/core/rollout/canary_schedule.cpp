#include "goldcrestwell/core/rollout/canary_schedule.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <set>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** @brief Largest load of a canary upstream relative to its load after the rollout, and mean share of the canary. */
struct canary_load {
    double load_ratio{};
    double mean_share{};
};

canary_load measure_load(const upstream_counts upstreams) {
    constexpr milliseconds step{1};
    constexpr seconds duration{6};
    const canary_schedule schedule;
    double sum = 0.0;
    double largest_load = 0.0;
    for (milliseconds at{}; at < duration; at += step) {
        const auto share_now = static_cast<double>(schedule.share_at(at, upstreams).value()) / full_share.value();
        sum += share_now;
        largest_load = std::max(largest_load, share_now / static_cast<double>(schedule.group_at(at, upstreams).count));
    }
    return {.load_ratio = largest_load * static_cast<double>(upstreams.candidates),
            .mean_share = sum / static_cast<double>(milliseconds{duration} / step)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(canary_bursts)

// Guards against a fault under load that appears only after the canary stage, with all traffic on the version: with
// seven calls in a hundred spread over time, a canary upstream had a third of its later load.
BOOST_AUTO_TEST_CASE(canary_upstream_gets_the_load_of_the_complete_rollout) {
    constexpr std::array<upstream_counts, 5> cases{{{.candidates = 3, .current = 3},
                                                    {.candidates = 5, .current = 10},
                                                    {.candidates = 10, .current = 10},
                                                    {.candidates = 32, .current = 65},
                                                    {.candidates = 65, .current = 65}}};
    for (const auto& upstreams : cases) {
        BOOST_TEST_CONTEXT(upstreams.candidates << " of " << upstreams.current) {
            const auto load = measure_load(upstreams);
            BOOST_TEST(load.load_ratio >= 1.0);
            // At most a tenth of all calls may reach a faulty version.
            BOOST_TEST(load.mean_share <= 0.1);
        }
    }
}

// Guards against a canary stage that uses only one host, which may itself be faulty.
BOOST_AUTO_TEST_CASE(groups_cover_several_upstreams) {
    constexpr upstream_counts upstreams{.candidates = 5, .current = 10};
    const canary_schedule schedule;
    std::set<std::size_t> visited_upstreams;
    for (milliseconds at{}; at < seconds{6}; at += milliseconds{500}) {
        const auto group = schedule.group_at(at, upstreams);
        BOOST_TEST(group.first < upstreams.candidates);
        visited_upstreams.insert(group.first);
    }
    BOOST_TEST(visited_upstreams.size() >= 4U);
}

BOOST_AUTO_TEST_SUITE_END()
