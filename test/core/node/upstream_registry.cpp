#include "goldcrestwell/core/node/upstream_registry.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;

namespace {

const node_id upstream_address{1, 80};

upstream_announcement announcement(const std::uint64_t sequence, const std::int64_t start_ms = 100) {
    return {.id = "u-1",
            .service = {"orders"},
            .version = {"v1"},
            .address = upstream_address,
            .slots = 4,
            .sequence = sequence,
            .started = wall_time{std::chrono::milliseconds{start_ms}}};
}

constexpr wall_time now{std::chrono::milliseconds{1'000}};

// Registry of a process that knows that no earlier process on its host recorded a departure.
struct fixture {
    fixture() { static_cast<void>(registry.restore({})); }

    upstream_registry registry{{.service = {"orders"}, .address = upstream_address}};
};

// Registry of a process that has just started and has not read the recorded departure.
struct restarted_fixture {
    upstream_registry registry{{.service = {"orders"}, .address = upstream_address}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_announcements)

// Guards against accepting a heartbeat that was delayed until the upstream was started again.
BOOST_FIXTURE_TEST_CASE(heartbeats_of_an_earlier_start_are_ignored, fixture) {
    BOOST_TEST((registry.on_announcement(announcement(9)) == upstream_change::started));
    BOOST_TEST((registry.on_announcement(announcement(1, 200)) == upstream_change::started));
    BOOST_TEST((registry.on_announcement(announcement(10)) == upstream_change::none));
    BOOST_TEST((registry.on_announcement(announcement(2, 200)) == upstream_change::renewed));
}

// Guards against a late heartbeat that reactivates an upstream after it has announced its shutdown.
BOOST_FIXTURE_TEST_CASE(leaving_is_final_for_a_start, fixture) {
    static_cast<void>(registry.on_announcement(announcement(1)));
    BOOST_TEST((registry.on_withdrawal("u-1", now) == upstream_change::leaving));
    BOOST_TEST((registry.on_announcement(announcement(5)) == upstream_change::none));
    BOOST_TEST((registry.on_announcement(announcement(1, 300)) == upstream_change::started));
    BOOST_TEST((registry.on_withdrawal("u-2", now) == upstream_change::none));
}

// Guards against forged heartbeats for another service or address.
BOOST_FIXTURE_TEST_CASE(other_services_and_addresses_are_ignored, fixture) {
    auto forged = announcement(1);
    forged.service = {"bills"};
    BOOST_TEST((registry.on_announcement(forged) == upstream_change::none));
    forged = announcement(1);
    forged.address = node_id{2, 80};
    BOOST_TEST((registry.on_announcement(forged) == upstream_change::none));
}

// Guards against a cold upstream that is gossiped as warm, and against a warm one that is gossiped as cold.
BOOST_FIXTURE_TEST_CASE(upstream_is_warm_once_it_says_so, fixture) {
    auto cold = announcement(1);
    cold.remaining_cold_start = std::chrono::milliseconds{1'200};
    static_cast<void>(registry.on_announcement(cold));
    BOOST_TEST(!registry.info().warm);
    BOOST_TEST((registry.on_announcement(announcement(2)) == upstream_change::renewed));
    BOOST_TEST(registry.info().warm);
}

// Guards against a process that takes a late heartbeat of an upstream for a start, although the process before it on
// the host has acknowledged that the upstream leaves.
BOOST_FIXTURE_TEST_CASE(late_heartbeat_after_a_restart_is_no_start, restarted_fixture) {
    const upstream_departure departure{.id = "u-1", .started = announcement(1).started};
    BOOST_TEST((registry.on_announcement(announcement(7)) == upstream_change::none));
    BOOST_TEST((registry.restore(departure) == upstream_change::none));
    BOOST_TEST((registry.on_announcement(announcement(8)) == upstream_change::none));
    BOOST_TEST(registry.id() == "");
    auto draining = announcement(9);
    draining.leaving = true;
    BOOST_TEST((registry.on_announcement(draining) == upstream_change::leaving));
    BOOST_TEST((registry.on_announcement(announcement(1, 200)) == upstream_change::started));
}

// Guards against a restarted process that does not use an upstream that is still in service.
BOOST_FIXTURE_TEST_CASE(heartbeat_before_the_departure_is_known_is_kept, restarted_fixture) {
    BOOST_TEST((registry.on_announcement(announcement(7)) == upstream_change::none));
    BOOST_TEST((registry.restore(upstream_departure{.id = "u-0", .started = now}) == upstream_change::started));
    BOOST_TEST((registry.on_announcement(announcement(8)) == upstream_change::renewed));
}

// Guards against an upstream that stays out of use as long as the store cannot be read, and against a single late
// heartbeat that is taken for a start meanwhile.
BOOST_FIXTURE_TEST_CASE(second_heartbeat_confirms_a_start_without_the_store, restarted_fixture) {
    BOOST_TEST((registry.on_announcement(announcement(7)) == upstream_change::none));
    BOOST_TEST((registry.on_announcement(announcement(7)) == upstream_change::none));
    BOOST_TEST((registry.on_announcement(announcement(6)) == upstream_change::none));
    BOOST_TEST((registry.on_announcement(announcement(8)) == upstream_change::started));
    BOOST_TEST((registry.restore(upstream_departure{.id = "u-1", .started = announcement(1).started}) ==
                upstream_change::leaving));
}

// Guards against a withdrawal that is forgotten because the process has received no heartbeat of the upstream yet.
BOOST_FIXTURE_TEST_CASE(withdrawal_before_the_first_heartbeat_is_final, restarted_fixture) {
    BOOST_TEST((registry.on_withdrawal("u-1", now) == upstream_change::leaving));
    BOOST_TEST((registry.restore({}) == upstream_change::none));
    BOOST_TEST((registry.on_announcement(announcement(5)) == upstream_change::none));
    BOOST_TEST((registry.departure() == upstream_departure{.id = "u-1", .started = now}));
    BOOST_TEST((registry.on_announcement(announcement(1, 2'000)) == upstream_change::started));
}

// Guards against a recorded departure that is lost because another upstream withdrew before it was read.
BOOST_FIXTURE_TEST_CASE(withdrawal_of_another_upstream_keeps_the_recorded_departure, restarted_fixture) {
    BOOST_TEST((registry.on_withdrawal("u-0", now) == upstream_change::leaving));
    const upstream_departure departure{.id = "u-1", .started = announcement(1).started};
    BOOST_TEST((registry.restore(departure) == upstream_change::none));
    BOOST_TEST((registry.on_announcement(announcement(7)) == upstream_change::none));
    auto draining = announcement(8);
    draining.leaving = true;
    BOOST_TEST((registry.on_announcement(draining) == upstream_change::leaving));
    BOOST_TEST((registry.departure() == departure));
}

BOOST_AUTO_TEST_SUITE_END()
