#include "core/rollout/service_rollouts_fixture.hpp"
#include "goldcrestwell/core/common/store_offset.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;
using namespace goldcrestwell::test::services;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const upstream_version third_version{"v3"};

constexpr log_offset at(const std::uint32_t era, const std::uint32_t number) {
    return make_store_offset(store_era{era}, number);
}

rollout_update update_of(const log_offset offset, const upstream_version& version, const rollout_state& state) {
    return {.key = {.row = {.route = {orders.value}, .version = version}, .row_version = offset}, .state = state};
}

constexpr rollout_state completed{.stage = 4, .done = true};
constexpr rollout_state rolled_back{.stage = 1, .rolled_back = true, .reason = rollback_reason::failures};

/** @brief Node with three requests of the first history: rolled back, completed and requested again in the second. */
struct informed_fixture : node_fixture {
    informed_fixture() {
        send_request(at(1, 5), candidate_version);
        rollouts.on_update(update_of(at(1, 5), candidate_version, rolled_back), now);
        send_request(at(1, 9), third_version);
        rollouts.on_update(update_of(at(1, 9), third_version, completed), now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(service_rollout_after_a_replaced_history)

// Guards against a rollout that starts again from its first stage, and then ends after its deadline.
BOOST_AUTO_TEST_CASE(repeated_request_continues_a_running_rollout) {
    node_fixture node;
    node.send_request(at(1, 9));
    node.run(seconds{8});
    const auto share_before = node.candidate_share();
    BOOST_REQUIRE((share_before > share{100'000}));
    BOOST_TEST(node.send_request(at(2, 5)));
    BOOST_TEST((node.candidate_share() == share_before));
    BOOST_REQUIRE(!node.broadcasts.empty());
    BOOST_TEST((node.broadcasts.back().key.row_version == at(2, 5)));
    node.run(seconds{7});
    BOOST_TEST((node.candidate_share() == full_share));
    BOOST_TEST((node.statuses.back().phase == rollout_phase::completed));
}

// Guards against calls that go back to the version before, whose upstreams have stopped.
BOOST_AUTO_TEST_CASE(repeated_request_does_not_run_a_completed_rollout_again) {
    node_fixture node;
    node.send_request(at(1, 9));
    node.rollouts.on_update(update_of(at(1, 9), candidate_version, completed), node.now);
    BOOST_TEST(node.send_request(at(2, 5)));
    BOOST_TEST((node.candidate_share() == full_share));
    BOOST_TEST((node.rollouts.rollouts() == std::vector{update_of(at(2, 5), candidate_version, completed)}));
}

BOOST_AUTO_TEST_CASE(repeated_request_does_not_revive_a_rolled_back_version) {
    node_fixture node;
    node.send_request(at(1, 9));
    node.rollouts.on_update(update_of(at(1, 9), candidate_version, rolled_back), node.now);
    BOOST_TEST(node.send_request(at(2, 5)));
    BOOST_TEST(node.rollouts.is_rolled_back(orders, candidate_version));
    BOOST_TEST((node.measure_shares(seconds{15}).largest == share{}));
}

// Guards against an operator who writes a request again although the copy holds it.
BOOST_AUTO_TEST_CASE(request_of_the_copy_may_be_written_again) {
    node_fixture node;
    node.send_request(at(1, 9));
    node.rollouts.on_update(update_of(at(1, 9), candidate_version, rolled_back), node.now);
    node.send_request(at(2, 9));
    node.run(seconds{3});
    node.send_request(at(2, 11));
    BOOST_TEST(node.rollouts.is_rolled_back(orders, candidate_version));
    // Much later, the operator requests the version once more.
    node.run(seconds{10});
    BOOST_TEST(node.send_request(at(2, 12)));
    BOOST_TEST(!node.rollouts.is_rolled_back(orders, candidate_version));
}

// Guards against an earlier request that the copy still holds and that replaces the one that was lost.
BOOST_AUTO_TEST_CASE(earlier_request_of_the_copy_has_no_effect) {
    node_fixture node;
    node.send_request(at(1, 3));
    node.rollouts.on_update(update_of(at(1, 3), candidate_version, completed), node.now);
    node.send_request(at(1, 9), third_version);
    node.rollouts.on_update(update_of(at(1, 9), third_version, completed), node.now);
    BOOST_TEST(!node.send_request(at(2, 3)));
    BOOST_TEST((share_of(node.rollouts.shares(orders, node.now.steady), third_version) == full_share));
    BOOST_TEST(node.send_request(at(2, 5), third_version));
    BOOST_TEST((share_of(node.rollouts.shares(orders, node.now.steady), third_version) == full_share));
}

// The request of the copy is for the same version as the one that was lost, but belongs to an earlier rollout.
BOOST_AUTO_TEST_CASE(earlier_request_of_the_copy_for_the_same_version_has_no_effect) {
    node_fixture node;
    node.send_request(at(1, 3));
    node.rollouts.on_update(update_of(at(1, 3), candidate_version, rolled_back), node.now);
    node.send_request(at(1, 9));
    BOOST_TEST(!node.send_request(at(2, 3)));
    node.rollouts.on_update(update_of(at(1, 3), candidate_version, rolled_back), node.now);
    BOOST_TEST(!node.rollouts.is_rolled_back(orders, candidate_version));
    BOOST_TEST(node.send_request(at(2, 5)));
    node.rollouts.on_update(update_of(at(1, 3), candidate_version, rolled_back), node.now);
    BOOST_TEST(!node.rollouts.is_rolled_back(orders, candidate_version));
}

BOOST_AUTO_TEST_CASE(other_request_of_a_later_history_is_new) {
    node_fixture node;
    node.send_request(at(1, 9));
    node.rollouts.on_update(update_of(at(1, 9), candidate_version, rolled_back), node.now);
    BOOST_TEST(node.send_request(at(2, 2), third_version));
    BOOST_TEST(node.send_request(at(2, 4)));
    BOOST_TEST(!node.rollouts.is_rolled_back(orders, candidate_version));
}

BOOST_AUTO_TEST_CASE(request_of_an_earlier_history_has_no_effect) {
    node_fixture node;
    BOOST_TEST(node.send_request(at(2, 3)));
    BOOST_TEST(!node.send_request(at(1, 9), third_version));
    BOOST_TEST(!node.send_request(at(2, 3)));
    node_fixture started_node;
    BOOST_TEST(started_node.send_request(at(1, 9)));
}

// Guards against a node that starts after the return and runs a finished rollout again, because its peers know the
// rollout by the earlier offset.
BOOST_AUTO_TEST_CASE(state_by_an_earlier_offset_is_merged) {
    node_fixture node;
    node.send_request(at(2, 5));
    node.rollouts.on_update(update_of(at(1, 9), candidate_version, completed), node.now);
    BOOST_TEST((node.candidate_share() == full_share));
    BOOST_REQUIRE(!node.broadcasts.empty());
    BOOST_TEST((node.broadcasts.back() == update_of(at(2, 5), candidate_version, completed)));

    node_fixture informed_before_request;
    informed_before_request.rollouts.on_update(update_of(at(1, 9), candidate_version, completed), node.now);
    informed_before_request.send_request(at(2, 5));
    BOOST_TEST((informed_before_request.candidate_share() == full_share));
}

BOOST_AUTO_TEST_CASE(state_by_a_later_offset_is_merged_with_its_request) {
    node_fixture node;
    node.send_request(at(1, 9));
    node.rollouts.on_update(update_of(at(2, 5), candidate_version, rolled_back), node.now);
    BOOST_TEST(!node.rollouts.is_rolled_back(orders, candidate_version));
    node.send_request(at(2, 5));
    BOOST_TEST(node.rollouts.is_rolled_back(orders, candidate_version));
}

// Guards against a rollback by a coordinator that has not read the request again, which the other nodes ignore.
BOOST_AUTO_TEST_CASE(rollback_by_an_earlier_offset_is_applied) {
    node_fixture node;
    node.send_request(at(1, 9));
    node.send_request(at(2, 5));
    node.rollouts.on_update(update_of(at(1, 9), candidate_version, rolled_back), node.now);
    BOOST_TEST(node.rollouts.is_rolled_back(orders, candidate_version));
    BOOST_REQUIRE(!node.broadcasts.empty());
    BOOST_TEST((node.broadcasts.back() == update_of(at(2, 5), candidate_version, rolled_back)));
}

// Guards against a rollback of an earlier rollout that ends a new one of the same version.
BOOST_FIXTURE_TEST_CASE(earlier_rollback_does_not_end_a_new_rollout_of_the_version, informed_fixture) {
    BOOST_TEST(send_request(at(2, 12), candidate_version));
    rollouts.on_update(update_of(at(1, 5), candidate_version, rolled_back), now);
    BOOST_TEST(!rollouts.is_rolled_back(orders, candidate_version));

    node_fixture joining_node;
    joining_node.send_request(at(2, 12), candidate_version);
    for (const auto& update : rollouts.rollouts()) {
        joining_node.rollouts.on_update(update, joining_node.now);
    }
    BOOST_TEST(!joining_node.rollouts.is_rolled_back(orders, candidate_version));
}

// Guards against a node that starts before the operator has written the lost request again and takes an earlier one
// for the newest.
BOOST_FIXTURE_TEST_CASE(joining_node_ignores_an_earlier_request_of_the_copy, informed_fixture) {
    node_fixture joining_node;
    for (const auto& update : rollouts.rollouts()) {
        joining_node.rollouts.on_update(update, joining_node.now);
    }
    BOOST_TEST(!joining_node.send_request(at(2, 5), candidate_version));
    BOOST_TEST(joining_node.send_request(at(2, 7), third_version));
    const auto shares = joining_node.rollouts.shares(orders, joining_node.now.steady);
    BOOST_TEST((share_of(shares, third_version) == full_share));
}

// As above, but the request of the copy arrives before the states of the peers.
BOOST_AUTO_TEST_CASE(later_rollout_of_an_earlier_history_stays_in_force) {
    node_fixture node;
    node.send_request(at(2, 3));
    node.rollouts.on_update(update_of(at(1, 9), third_version, completed), node.now);
    node.rollouts.on_update(update_of(at(1, 3), candidate_version, completed), node.now);
    BOOST_TEST(!node.rollouts.has_unknown_state());
    BOOST_TEST((share_of(node.rollouts.shares(orders, node.now.steady), third_version) == full_share));
}

// Guards against a rollout that takes two of the few entries for finished rollouts.
BOOST_AUTO_TEST_CASE(rollout_with_two_offsets_is_one_finished_rollout) {
    node_fixture node;
    node.send_request(at(1, 9));
    node.rollouts.on_update(update_of(at(1, 9), candidate_version, completed), node.now);
    node.send_request(at(2, 5));
    const std::vector expected{update_of(at(2, 5), candidate_version, completed)};
    BOOST_TEST((node.rollouts.rollouts() == expected));
    node.send_request(at(2, 8), third_version);
    node.rollouts.on_update(update_of(at(1, 9), candidate_version, completed), node.now);
    BOOST_TEST((node.rollouts.rollouts() == expected));
}

// Guards against an end that the operator does not see because the store lost its record.
BOOST_AUTO_TEST_CASE(first_coordinator_records_a_lost_end_again) {
    const rollout_status end{.service = orders, .target = candidate_version, .phase = rollout_phase::completed};
    for (const std::size_t rank : {0U, 1U, 4U}) {
        node_fixture node{rank};
        node.send_request(at(1, 9));
        node.rollouts.on_update(update_of(at(1, 9), candidate_version, completed), node.now);
        node.rollouts.on_recorded(end, node.now);
        node.run(seconds{4});
        BOOST_TEST(node.statuses.empty());
        node.rollouts.on_history_replaced(node.now);
        node.run(seconds{1});
        BOOST_TEST(node.statuses.size() == (rank == 0 ? 1U : 0U));
        // The copy holds an earlier status of the rollout.
        auto earlier = end;
        earlier.phase = rollout_phase::running;
        node.rollouts.on_recorded(earlier, node.now);
        node.run(seconds{2});
        const auto is_coordinator = rank != 4;
        BOOST_REQUIRE(!node.statuses.empty() == is_coordinator);
        BOOST_TEST((!is_coordinator || node.statuses.back() == end));
        node.rollouts.on_recorded(end, node.now);
        const auto count = node.statuses.size();
        node.run(seconds{4});
        BOOST_TEST(node.statuses.size() == count);
        BOOST_TEST((node.candidate_share() == full_share));
    }
}

BOOST_AUTO_TEST_CASE(end_that_was_recorded_again_is_not_written_by_others) {
    const rollout_status end{.service = orders, .target = candidate_version, .phase = rollout_phase::rolled_back};
    node_fixture node{1};
    node.send_request(at(1, 9));
    node.rollouts.on_update(update_of(at(1, 9), candidate_version, rolled_back), node.now);
    node.rollouts.on_recorded(end, node.now);
    node.rollouts.on_history_replaced(node.now);
    node.run(seconds{1});
    node.rollouts.on_recorded(end, node.now);
    node.run(seconds{5});
    BOOST_TEST(node.statuses.empty());
}

BOOST_AUTO_TEST_SUITE_END()
