// Sidecars as processes and a store that goes away and returns from a copy that lacks the last versions.

#include "store_return/return_drill.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using test::outage_kind;
using test::return_drill;
using test::store_outage;

namespace {

constexpr milliseconds outage_duration{1'500};
constexpr milliseconds write_delay{1'000};
constexpr std::size_t lost_versions = 3;

constexpr std::uint16_t closed_ports = 28'000;
constexpr std::uint16_t silent_ports = 28'060;
constexpr std::uint16_t open_poll_ports = 28'120;
constexpr std::uint16_t reused_offset_ports = 28'180;
constexpr std::uint16_t reused_offset_in_poll_ports = 28'240;
constexpr std::uint16_t late_response_ports = 28'300;
constexpr std::uint16_t series_ports = 28'360;
constexpr std::uint16_t cut_off_ports = 28'420;
constexpr std::uint16_t restart_ports = 28'480;

/** @brief The store returns from the copy after an outage, with the history of the drill written before. */
void return_from_copy(return_drill& drill, const store_outage& outage) {
    drill.write_history();
    drill.begin_outage(outage);
    drill.cluster().run_for(outage_duration);
    drill.come_back_from_copy();
}

/** @brief The operator writes the next version a second later. */
void check_next_version(return_drill& drill) {
    drill.cluster().run_for(write_delay);
    drill.check_last_version_in_force();
    drill.write_next();
    drill.check_next_version_in_force();
}

/** @brief Fills the offsets that were lost and more, so that a read from a lost position succeeds. */
void write_beyond_lost_offsets(return_drill& drill) {
    for (std::size_t i = 0; i <= lost_versions; ++i) {
        drill.cluster().store().put("keyed.op", "note", std::to_string(i));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_return)

// Guards against nodes that ignore the operator's next version because the store, which returned from an older copy,
// gives it an offset that is not above those of the lost history: requests stay at the old service and the added route
// is refused.
BOOST_AUTO_TEST_CASE(next_version_is_applied_after_a_return_from_an_older_copy) {
    return_drill drill{closed_ports};
    return_from_copy(drill, {.kind = outage_kind::closed});
    check_next_version(drill);
}

// Guards against the same failure if the responses to long polls are lost without a reset.
BOOST_AUTO_TEST_CASE(next_version_is_applied_after_a_silent_return) {
    return_drill drill{silent_ports};
    return_from_copy(drill, {.kind = outage_kind::silent});
    check_next_version(drill);
}

// Guards against the same failure if long polls from a lost position go on in the new history.
BOOST_AUTO_TEST_CASE(next_version_is_applied_after_a_return_during_a_long_poll) {
    return_drill drill{open_poll_ports};
    return_from_copy(drill, {.kind = outage_kind::silent, .keeps_long_polls = true});
    check_next_version(drill);
}

// Guards against a next version that is skipped because the read from a lost position succeeds.
BOOST_AUTO_TEST_CASE(version_before_a_reused_position_is_read) {
    return_drill drill{reused_offset_ports};
    return_from_copy(drill, {.kind = outage_kind::closed});
    drill.write_next();
    write_beyond_lost_offsets(drill);
    drill.check_next_version_in_force();
}

// Guards against a next version that is skipped because a long poll from a lost position receives a later record.
BOOST_AUTO_TEST_CASE(version_before_a_reused_position_of_a_long_poll_is_read) {
    return_drill drill{reused_offset_in_poll_ports};
    return_from_copy(drill, {.kind = outage_kind::silent, .keeps_long_polls = true});
    drill.write_next();
    write_beyond_lost_offsets(drill);
    drill.check_next_version_in_force();
}

// Guards against a response of the earlier history that arrives after the return and takes the position or the
// configuration back to that history.
BOOST_AUTO_TEST_CASE(late_response_of_the_earlier_history_has_no_effect) {
    return_drill drill{late_response_ports};
    drill.write_history();
    drill.cluster().store().hold_next_response("/goldcrestwell/log-read");
    drill.write_old();
    BOOST_REQUIRE(drill.cluster().store().holds_response());
    drill.begin_outage({.kind = outage_kind::silent});
    drill.cluster().run_for(milliseconds{1'000});
    drill.come_back_from_copy();
    drill.cluster().run_for(milliseconds{500});
    drill.write_next();
    drill.cluster().run_for(milliseconds{700});
    BOOST_TEST(drill.cluster().store().send_held_response());
    drill.check_next_version_in_force();
    drill.write_old();
    drill.cluster().run_for(write_delay);
    drill.write_next();
    drill.check_next_version_in_force();
}

// Guards against a second return that is taken for the first one.
BOOST_AUTO_TEST_CASE(next_version_is_applied_after_two_returns) {
    return_drill drill{series_ports};
    return_from_copy(drill, {.kind = outage_kind::closed});
    drill.cluster().run_for(write_delay);
    drill.write_old();
    drill.cluster().run_for(write_delay);
    drill.begin_outage({.kind = outage_kind::closed});
    drill.cluster().run_for(outage_duration);
    drill.come_back_from_copy();
    check_next_version(drill);
}

// Guards against a node that does not learn the new history from its peers while the store is unreachable for it.
BOOST_AUTO_TEST_CASE(node_without_the_store_learns_the_new_history_from_peers) {
    return_drill drill{cut_off_ports};
    drill.write_history();
    test::return_cluster::cut_from_store(*drill.cluster().hosts().front(), true);
    drill.begin_outage({.kind = outage_kind::closed});
    drill.cluster().run_for(outage_duration);
    drill.come_back_from_copy();
    check_next_version(drill);
}

// Guards against a node that starts with the copy while its peers hold the lost history.
BOOST_AUTO_TEST_CASE(next_version_is_applied_by_a_node_that_restarted_after_the_return) {
    return_drill drill{restart_ports};
    return_from_copy(drill, {.kind = outage_kind::closed});
    drill.cluster().restart(*drill.cluster().hosts().front());
    drill.cluster().run_for(write_delay);
    drill.write_next();
    drill.check_next_version_in_force();
}

BOOST_AUTO_TEST_SUITE_END()
