#include "core/rollout/service_rollouts_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;
using namespace goldcrestwell::test::services;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(service_rollout)

// Guards against traffic to a version without a rollout request.
BOOST_AUTO_TEST_CASE(version_without_a_request_gets_no_traffic) {
    node_fixture node;
    node.rollouts.on_upstream(orders, candidate_version, node.now);
    BOOST_TEST((share_of(node.rollouts.shares(orders, node.now.steady), baseline_version) == full_share));
}

// Guards against a rollout that ends late or skips its canary stage.
BOOST_AUTO_TEST_CASE(good_version_passes_the_canary_stage_and_completes_in_time) {
    node_fixture node;
    node.send_request();
    node.run(seconds{1});
    // The share is small on average but larger in a burst.
    const auto canary_shares = node.measure_shares(seconds{6});
    BOOST_TEST((canary_shares.mean > share{} && canary_shares.mean <= share{100'000}));
    BOOST_TEST((canary_shares.largest <= share{400'000}));
    BOOST_TEST((node.measure_shares(seconds{8}).largest == full_share));
    BOOST_TEST((node.candidate_share() == full_share));
    BOOST_REQUIRE(!node.statuses.empty());
    BOOST_TEST((node.statuses.back().phase == rollout_phase::completed));
}

// Guards against a second coordinator that raises the stages immediately, because the elapsed time minus a longer
// takeover delay wrapped round in unsigned arithmetic.
BOOST_AUTO_TEST_CASE(second_coordinator_waits_for_its_takeover_delay) {
    node_fixture node{1};
    node.send_request();
    node.run(milliseconds{300});
    BOOST_TEST((node.candidate_share() == share{}));
    BOOST_TEST((node.measure_shares(seconds{3}).mean <= share{100'000}));
}

// Guards against a faulty version that keeps its share after its faults appear.
BOOST_AUTO_TEST_CASE(failing_version_is_rolled_back_within_a_second) {
    node_fixture node;
    node.send_request();
    node.run(seconds{2});
    // A canary is called in bursts, so its faults appear in the next burst.
    while (node.failures_reported == 0) {
        node.run(milliseconds{50}, 4);
    }
    node.run(seconds{1}, 4);
    BOOST_TEST((node.candidate_share() == share{}));
    BOOST_TEST(node.rollouts.is_rolled_back(orders, candidate_version));
    BOOST_TEST((node.statuses.back().phase == rollout_phase::rolled_back));
}

// Guards against a status that is never recorded because a response of the store was lost.
BOOST_AUTO_TEST_CASE(status_is_recorded_again_until_it_is_read_back) {
    node_fixture node;
    node.send_request();
    node.run(seconds{2}, 4);
    const auto write_count = node.statuses.size();
    node.run(seconds{4});
    BOOST_TEST(node.statuses.size() > write_count);
    node.rollouts.on_recorded(node.statuses.back(), node.now);
    const auto write_count_after_read = node.statuses.size();
    node.run(seconds{4});
    BOOST_TEST(node.statuses.size() == write_count_after_read);
}

// Guards against the loss of a state that arrives from another node before its request is read.
BOOST_AUTO_TEST_CASE(state_that_arrives_before_its_request_is_kept) {
    node_fixture node{4};
    node.rollouts.on_update(
        {.key = {.row = {.route = {orders.value}, .version = candidate_version}, .row_version = log_offset{3}},
         .state = {.stage = 2}},
        node.now);
    BOOST_TEST((node.candidate_share() == share{}));
    node.send_request();
    BOOST_TEST((node.candidate_share() > share{100'000}));
}

// Guards against a node that starts between two requests and treats the version that was rolled back as the current
// one: it refused half of its calls until the upstreams of that version were gone, and then all calls.
BOOST_AUTO_TEST_CASE(new_member_receives_which_version_was_rolled_back) {
    const upstream_version third_version{"v3"};
    node_fixture informed_node;
    informed_node.send_request();
    informed_node.run(seconds{3}, 5);
    BOOST_REQUIRE(informed_node.rollouts.is_rolled_back(orders, candidate_version));
    const auto request_third = [&third_version](node_fixture& node) {
        node.rollouts.on_request({.service = orders, .target = third_version, .duration = duration}, log_offset{9},
                                 node.now);
    };
    request_third(informed_node);

    node_fixture joining_node{4, false};
    request_third(joining_node);
    joining_node.rollouts.on_upstream(orders, candidate_version, joining_node.now);
    joining_node.rollouts.on_upstream(orders, baseline_version, joining_node.now);
    for (const auto& update : informed_node.rollouts.rollouts()) {
        joining_node.rollouts.on_update(update, joining_node.now);
    }
    joining_node.rollouts.on_upstream(orders, baseline_version, joining_node.now);
    BOOST_TEST(joining_node.rollouts.is_rolled_back(orders, candidate_version));
    BOOST_TEST(
        (share_of(joining_node.rollouts.shares(orders, joining_node.now.steady), baseline_version) == full_share));
}

// Guards against a coordinator that was paused for seconds and then advances a rollout that the others rolled back
// meanwhile.
BOOST_AUTO_TEST_CASE(paused_coordinator_does_not_revive_a_rolled_back_version) {
    node_fixture paused{0};
    node_fixture other{1};
    paused.send_request();
    other.send_request();
    paused.run(seconds{2});
    const auto before_pause = paused.broadcasts;
    for (const auto& update : before_pause) {
        other.rollouts.on_update(update, other.now);
    }
    other.run(seconds{8}, 10);
    BOOST_REQUIRE(other.rollouts.is_rolled_back(orders, candidate_version));
    // The paused node wakes, and its timers run before it reads the messages of the others.
    paused.now.steady += seconds{8};
    paused.now.wall += seconds{8};
    paused.rollouts.on_timer(paused.now);
    for (std::size_t i = before_pause.size(); i < paused.broadcasts.size(); ++i) {
        other.rollouts.on_update(paused.broadcasts[i], other.now);
    }
    BOOST_TEST(other.rollouts.is_rolled_back(orders, candidate_version));
    BOOST_TEST((share_of(other.rollouts.shares(orders, other.now.steady), candidate_version) == share{}));
    for (const auto& update : other.broadcasts) {
        paused.rollouts.on_update(update, paused.now);
    }
    BOOST_TEST((share_of(paused.rollouts.shares(orders, paused.now.steady), candidate_version) == share{}));
}

BOOST_AUTO_TEST_SUITE_END()
