#include "goldcrestwell/core/rollout/rollout_engine.hpp"

#include "core/rollout/engine_fixture.hpp"
#include "goldcrestwell/core/common/rendezvous.hpp"
#include "goldcrestwell/core/rollout/stage.hpp"

using namespace goldcrestwell;
using namespace goldcrestwell::test;
using namespace std::chrono_literals;

namespace {

constexpr auto hold = thin_evidence_policy::hold;
constexpr auto proceed = thin_evidence_policy::proceed;

} // namespace

BOOST_FIXTURE_TEST_SUITE(engine, engine_fixture)

// Guards against a good version that does not have all traffic by its deadline.
BOOST_AUTO_TEST_CASE(good_version_is_done_by_the_deadline) {
    start(hold);
    run(119s, 50, 0);
    BOOST_TEST((candidate_share() == full_share));
    BOOST_TEST((status().state == row_state::done));
    BOOST_TEST((status(0).state == row_state::done));
    BOOST_TEST(broadcasts.size() == 6U);
}

// Guards against a faulty version that keeps its traffic, or gets traffic again because of a stale state.
BOOST_AUTO_TEST_CASE(faulty_version_is_rolled_back_for_good) {
    start(proceed);
    run(10s, 20, 10);
    BOOST_TEST((candidate_share() == share{}));
    BOOST_TEST((status().state == row_state::taken_back));
    BOOST_TEST((status().reason == row_reason::failures));
    BOOST_TEST((status(0).reason == row_reason::replacement_taken_back));
    engine.on_update({.key = broadcasts.back().key, .state = {.stage = last_stage, .done = true}}, now);
    BOOST_TEST((candidate_share() == share{}));
}

// Guards against a rollback that waits for the log, and against a record that is lost with a response of the log.
BOOST_AUTO_TEST_CASE(records_are_appended_until_a_snapshot_contains_them) {
    start(proceed);
    run(200s, 20, 10);
    BOOST_TEST((candidate_share() == share{}));
    BOOST_TEST(records.size() > 4U);
    BOOST_TEST(records.size() < 20U);
    auto input = rollout_input{.position = log_offset{6}, .plans = {}, .recorded = {}};
    input.plans = {make_rollout_plan(route, log_offset{5}, now.wall, 2min, proceed)};
    input.recorded = {{.key = records.back().key, .state = records.back().state}};
    engine.on_snapshot(input, now);
    const auto record_count = records.size();
    run(100s, 20, 10);
    BOOST_TEST(records.size() == record_count);
    BOOST_TEST(!engine.next_timer().has_value());
}

// Guards against traffic to a version without an announced upstream, and a row that does not show the reason.
BOOST_AUTO_TEST_CASE(version_without_upstream_is_pending_then_late) {
    live_versions = {baseline_version};
    start(proceed);
    run(60s, 20, 0);
    BOOST_TEST((candidate_share() == share{}));
    BOOST_TEST((status().state == row_state::pending));
    run(90s, 20, 0);
    BOOST_TEST((status().state == row_state::late));
    BOOST_TEST((status().reason == row_reason::no_upstream));
}

// Guards against a rollout with too few calls that ignores the policy of its row.
BOOST_AUTO_TEST_CASE(thin_evidence_policy_of_the_row_applies) {
    start(hold);
    run(130s, 0, 0);
    BOOST_TEST((status().state == row_state::late));
    BOOST_TEST((status().reason == row_reason::thin_evidence));
    engine_fixture proceed_fixture;
    proceed_fixture.start(proceed);
    proceed_fixture.run(119s, 0, 0);
    BOOST_TEST((proceed_fixture.candidate_share() == full_share));
}

// Guards against a version that becomes faulty only after it has all traffic.
BOOST_AUTO_TEST_CASE(fault_in_the_bake_time_rolls_back) {
    start(hold);
    while (candidate_share() != full_share) {
        run(1s, 50, 0);
    }
    run(3s, 50, 0);
    BOOST_TEST((status().reason == row_reason::baking));
    run(5s, 50, 25);
    BOOST_TEST((status().state == row_state::taken_back));
}

// Guards against a rollback that sends all traffic to a version without upstreams.
BOOST_AUTO_TEST_CASE(no_rollback_without_a_baseline_upstream) {
    start(hold);
    run(30s, 50, 0);
    live_versions = {candidate_version};
    run(10s, 50, 25);
    BOOST_TEST((status().state == row_state::moving));
    BOOST_TEST((status().reason == row_reason::no_old_upstream));
    live_versions.insert(baseline_version);
    run(2s, 50, 25);
    BOOST_TEST((status().state == row_state::taken_back));
}

// Guards against a rollback for a fault of a dependency that both versions use.
BOOST_AUTO_TEST_CASE(common_fault_does_not_roll_back) {
    start(hold);
    run(20s, 50, 0);
    run(20s, 50, 20, 20);
    run(79s, 50, 0);
    BOOST_TEST((status().state == row_state::done));
}

// Guards against a rollout that stops when its coordinator hangs, and against successors that take over without delay.
BOOST_AUTO_TEST_CASE(successor_takes_over_from_a_silent_coordinator) {
    auto peer = std::uint64_t{2};
    const auto key = stable_hash(route.value);
    while (rendezvous_weight(key, node_id{peer}) < rendezvous_weight(key, node_id{1})) {
        ++peer;
    }
    nodes = {node_id{1}, node_id{peer}};
    start(hold);
    run(3s, 50, 0);
    BOOST_TEST(broadcasts.empty());
    run(4s, 50, 0);
    BOOST_TEST(broadcasts.size() == 1U);
    BOOST_TEST((status().coordinator == node_id{peer}));
}

// Guards against a coordinator that raises a stage after a pause before it has received the missed updates.
BOOST_AUTO_TEST_CASE(paused_coordinator_waits_before_it_raises_a_stage) {
    start(hold);
    run(13s, 50, 0);
    const auto raise_count = broadcasts.size();
    now.steady += 60s;
    now.wall += 60s;
    tick();
    run(2s, 50, 0);
    BOOST_TEST(broadcasts.size() == raise_count);
    run(3s, 50, 0);
    BOOST_TEST(broadcasts.size() == raise_count + 1);
}

// Guards against calls to a candidate that fails all of them, and against a refusal that never ends.
BOOST_AUTO_TEST_CASE(node_refuses_calls_after_consecutive_failures) {
    start(hold);
    const row_key row{.route = route, .version = candidate_version};
    for (int call = 0; call < 5; ++call) {
        BOOST_TEST(!engine.must_refuse_call(row, now));
        engine.record({.row = row, .failed = true, .latency = 1ms}, now);
    }
    BOOST_TEST(engine.must_refuse_call(row, now));
    now.steady += 1001ms;
    BOOST_TEST(!engine.must_refuse_call(row, now));
    BOOST_TEST(engine.must_refuse_call(row, now));
    engine.record({.row = row, .failed = false, .latency = 1ms}, now);
    BOOST_TEST(!engine.must_refuse_call(row, now));
}

// Guards against states kept for rows that no longer exist, and states lost because they arrived before their row.
BOOST_AUTO_TEST_CASE(states_are_kept_as_long_as_their_rows) {
    const rollout_key early_key{.row = {.route = route, .version = candidate_version}, .row_version = log_offset{7}};
    start(hold);
    engine.on_update({.key = early_key, .state = {.stage = 3, .rolled_back = true}}, now);
    run(10s, 50, 0);
    BOOST_TEST(engine.rollouts().size() == 2U);
    const auto next_plan = make_rollout_plan(route, log_offset{7}, now.wall, 2min, hold);
    engine.on_snapshot({.position = log_offset{7}, .plans = {next_plan}, .recorded = {}}, now);
    BOOST_TEST(engine.rollouts().size() == 1U);
    BOOST_TEST((status().state == row_state::taken_back));
    auto stale_key = early_key;
    stale_key.row_version = log_offset{6};
    engine.on_update({.key = stale_key, .state = {.stage = 3}}, now);
    BOOST_TEST(engine.rollouts().size() == 1U);
}

// Guards against a fault on one route that rolls back the version on other routes, or that those routes hide.
BOOST_AUTO_TEST_CASE(only_the_faulty_route_is_rolled_back) {
    const auto faulty_plan = make_rollout_plan(route, log_offset{5}, now.wall, 2min, proceed);
    const auto good_plan = make_rollout_plan({"/zoo"}, log_offset{5}, now.wall, 2min, proceed);
    engine.on_snapshot({.position = log_offset{5}, .plans = {faulty_plan, good_plan}, .recorded = {}}, now);
    run(119s, 20, 10);
    BOOST_TEST((status(1).state == row_state::taken_back));
    BOOST_TEST((share_of(engine.shares({"/zoo"}), candidate_version) == full_share));
}

// Guards against evidence that does not reach the successor, which needs it to take over.
BOOST_AUTO_TEST_CASE(evidence_goes_to_coordinator_and_successor) {
    nodes = {node_id{2}, node_id{3}, node_id{4}, node_id{5}};
    start(hold);
    engine.record({.row = {.route = route, .version = candidate_version}, .failed = false, .latency = 1ms}, now);
    run(2s, 50, 0);
    BOOST_TEST(evidence_receivers.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
