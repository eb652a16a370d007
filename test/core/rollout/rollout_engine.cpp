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

// Guards against a good version that is not fully moved and done by its deadline.
BOOST_AUTO_TEST_CASE(good_version_is_done_by_the_deadline) {
    start(hold);
    run(119s, 50, 0);
    BOOST_TEST((candidate_share() == full_share));
    BOOST_TEST((status().state == row_state::done));
    BOOST_TEST((status(0).state == row_state::done));
    BOOST_TEST(broadcasts.size() == 6U);
}

// Guards against a faulty version that keeps traffic, or gets some again from an older state.
BOOST_AUTO_TEST_CASE(faulty_version_is_taken_back_for_good) {
    start(proceed);
    run(10s, 20, 10);
    BOOST_TEST((candidate_share() == share{}));
    BOOST_TEST((status().state == row_state::taken_back));
    BOOST_TEST((status().reason == row_reason::failures));
    BOOST_TEST((status(0).reason == row_reason::replacement_taken_back));
    engine.on_update({.key = broadcasts.back().key, .state = {.stage = last_stage, .done = true}}, now);
    BOOST_TEST((candidate_share() == share{}));
}

// Guards against a take-back that waits for the log, and against a fact lost with the log's answer.
BOOST_AUTO_TEST_CASE(facts_are_appended_until_a_snapshot_has_them) {
    start(proceed);
    run(200s, 20, 10);
    BOOST_TEST((candidate_share() == share{}));
    BOOST_TEST(facts.size() > 4U);
    BOOST_TEST(facts.size() < 20U);
    auto input = rollout_input{.position = log_offset{6}, .plans = {}, .recorded = {}};
    input.plans = {move_plan(route, log_offset{5}, now.wall, 2min, proceed)};
    input.recorded = {{.key = facts.back().key, .state = facts.back().state}};
    engine.on_plans(input, now);
    const auto appended = facts.size();
    run(100s, 20, 10);
    BOOST_TEST(facts.size() == appended);
    BOOST_TEST(!engine.next_timer().has_value());
}

// Guards against traffic for a version that never announces, and a row that does not say so.
BOOST_AUTO_TEST_CASE(version_without_upstream_is_pending_then_late) {
    alive = {old_version};
    start(proceed);
    run(60s, 20, 0);
    BOOST_TEST((candidate_share() == share{}));
    BOOST_TEST((status().state == row_state::pending));
    run(90s, 20, 0);
    BOOST_TEST((status().state == row_state::late));
    BOOST_TEST((status().reason == row_reason::no_upstream));
}

// Guards against ignoring the row's choice when too few calls are seen.
BOOST_AUTO_TEST_CASE(thin_evidence_follows_the_row) {
    start(hold);
    run(130s, 0, 0);
    BOOST_TEST((status().state == row_state::late));
    BOOST_TEST((status().reason == row_reason::thin_evidence));
    engine_fixture other;
    other.start(proceed);
    other.run(119s, 0, 0);
    BOOST_TEST((other.candidate_share() == full_share));
}

// Guards against a version that turns bad only after it has all traffic.
BOOST_AUTO_TEST_CASE(fault_in_the_bake_time_takes_back) {
    start(hold);
    while (candidate_share() != full_share) {
        run(1s, 50, 0);
    }
    run(3s, 50, 0);
    BOOST_TEST((status().reason == row_reason::baking));
    run(5s, 50, 25);
    BOOST_TEST((status().state == row_state::taken_back));
}

// Guards against sending all traffic to a version that no longer exists.
BOOST_AUTO_TEST_CASE(no_take_back_without_an_old_upstream) {
    start(hold);
    run(30s, 50, 0);
    alive = {new_version};
    run(10s, 50, 25);
    BOOST_TEST((status().state == row_state::moving));
    BOOST_TEST((status().reason == row_reason::no_old_upstream));
    alive.insert(old_version);
    run(2s, 50, 25);
    BOOST_TEST((status().state == row_state::taken_back));
}

// Guards against blaming the new version for a fault of something that both versions use.
BOOST_AUTO_TEST_CASE(common_fault_takes_nothing_back) {
    start(hold);
    run(20s, 50, 0);
    run(20s, 50, 20, 20);
    run(79s, 50, 0);
    BOOST_TEST((status().state == row_state::done));
}

// Guards against a move that stops when its proposer hangs, and against successors that do not wait their turn.
BOOST_AUTO_TEST_CASE(successor_takes_over_from_a_silent_proposer) {
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
    BOOST_TEST((status().proposer == node_id{peer}));
}

// Guards against a proposer that was paused and raises a stage before it has heard the news.
BOOST_AUTO_TEST_CASE(paused_proposer_waits_before_it_raises) {
    start(hold);
    run(13s, 50, 0);
    const auto raised = broadcasts.size();
    now.steady += 60s;
    now.wall += 60s;
    tick();
    run(2s, 50, 0);
    BOOST_TEST(broadcasts.size() == raised);
    run(3s, 50, 0);
    BOOST_TEST(broadcasts.size() == raised + 1);
}

// Guards against calls to a candidate that fails each of them, and against never trying it again.
BOOST_AUTO_TEST_CASE(node_refuses_after_failures_in_a_row) {
    start(hold);
    const row_key row{.route = route, .version = new_version};
    for (int call = 0; call < 5; ++call) {
        BOOST_TEST(!engine.refuses(row, now));
        engine.record({.row = row, .failed = true, .latency = 1ms}, now);
    }
    BOOST_TEST(engine.refuses(row, now));
    now.steady += 1001ms;
    BOOST_TEST(!engine.refuses(row, now));
    BOOST_TEST(engine.refuses(row, now));
    engine.record({.row = row, .failed = false, .latency = 1ms}, now);
    BOOST_TEST(!engine.refuses(row, now));
}

// Guards against states kept for rows that no longer exist, and states lost because they came before their row.
BOOST_AUTO_TEST_CASE(states_live_as_long_as_their_rows) {
    const rollout_key early{.row = {.route = route, .version = new_version}, .row_version = log_offset{7}};
    start(hold);
    engine.on_update({.key = early, .state = {.stage = 3, .rolled_back = true}}, now);
    run(10s, 50, 0);
    BOOST_TEST(engine.rollouts().size() == 2U);
    const auto next = move_plan(route, log_offset{7}, now.wall, 2min, hold);
    engine.on_plans({.position = log_offset{7}, .plans = {next}, .recorded = {}}, now);
    BOOST_TEST(engine.rollouts().size() == 1U);
    BOOST_TEST((status().state == row_state::taken_back));
    auto stale = early;
    stale.row_version = log_offset{6};
    engine.on_update({.key = stale, .state = {.stage = 3}}, now);
    BOOST_TEST(engine.rollouts().size() == 1U);
}

// Guards against one bad route that takes the version back on the others, or is hidden by them.
BOOST_AUTO_TEST_CASE(only_the_bad_route_is_taken_back) {
    const auto bad = move_plan(route, log_offset{5}, now.wall, 2min, proceed);
    const auto good = move_plan({"/zoo"}, log_offset{5}, now.wall, 2min, proceed);
    engine.on_plans({.position = log_offset{5}, .plans = {bad, good}, .recorded = {}}, now);
    run(119s, 20, 10);
    BOOST_TEST((status(1).state == row_state::taken_back));
    BOOST_TEST((share_of(engine.shares({"/zoo"}), new_version) == full_share));
}

// Guards against evidence kept away from the successor, which needs it to take over.
BOOST_AUTO_TEST_CASE(evidence_goes_to_proposer_and_successor) {
    nodes = {node_id{2}, node_id{3}, node_id{4}, node_id{5}};
    start(hold);
    engine.record({.row = {.route = route, .version = new_version}, .failed = false, .latency = 1ms}, now);
    run(2s, 50, 0);
    BOOST_TEST(evidence_to.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
