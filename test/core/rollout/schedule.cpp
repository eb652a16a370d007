#include "goldcrestwell/core/rollout/schedule.hpp"

#include "goldcrestwell/core/rollout/stage.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(schedule)

// Guards against a schedule that ends after the deadline although every stage succeeds.
BOOST_AUTO_TEST_CASE(stages_and_bake_time_end_before_the_deadline) {
    const schedule_limits limits;
    for (const auto duration : std::vector<std::chrono::milliseconds>{20s, 60s, 10min, 3h}) {
        const wall_time deadline{duration};
        wall_time now{};
        for (std::uint8_t stage = 1; stage < last_stage; ++stage) {
            now += dwell_time(stage, now, deadline, limits);
        }
        BOOST_TEST((now + bake_time(now, deadline, limits) < deadline));
    }
}

// Guards against a rollout without calls that misses its deadline although the policy of its row is `proceed`.
BOOST_AUTO_TEST_CASE(stages_with_thin_evidence_end_before_the_deadline) {
    const schedule_limits limits;
    const wall_time deadline{10min};
    wall_time now{};
    for (std::uint8_t stage = 1; stage < last_stage; ++stage) {
        now += max_thin_evidence_dwell(stage, now, deadline, limits);
    }
    BOOST_TEST((now < deadline));
}

// Guards against stages that are skipped without evidence after the deadline.
BOOST_AUTO_TEST_CASE(late_rollout_keeps_the_shortest_times) {
    const schedule_limits limits;
    BOOST_TEST((dwell_time(1, wall_time{1h}, wall_time{}, limits) == limits.min_dwell));
    BOOST_TEST((bake_time(wall_time{1h}, wall_time{}, limits) == limits.min_bake));
}

// Guards against a rollout that never ends because its edit has no deadline.
BOOST_AUTO_TEST_CASE(default_deadline_follows_the_edit) {
    const table_row row{.changed_at = wall_time{5min}};
    BOOST_TEST((rollout_deadline(row, {}) == wall_time{15min}));
}

BOOST_AUTO_TEST_SUITE_END()
