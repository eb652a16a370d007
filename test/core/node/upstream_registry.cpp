#include "goldcrestwell/core/node/upstream_registry.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;

namespace {

const node_id upstream_address{1, 80};

upstream_announcement announcement(const std::uint64_t sequence, const std::int64_t start_ms = 100) {
    return {.id = "u-1",
            .service = {"orders"},
            .version = {"v1"},
            .data_centre = {"north"},
            .address = upstream_address,
            .slots = 4,
            .sequence = sequence,
            .started = wall_time{milliseconds{start_ms}}};
}

upstream_announcement announcement_of(const std::string& id, const std::uint64_t sequence,
                                      const std::int64_t start_ms) {
    auto result = announcement(sequence, start_ms);
    result.id = id;
    return result;
}

upstream_announcement draining(const upstream_announcement& ready) {
    auto result = ready;
    result.leaving = true;
    return result;
}

constexpr wall_time now{milliseconds{1'000}};

// Registry of a process that has just started and has not read the recorded departures.
struct restarted_fixture {
    upstream_registry registry{{.service = {"orders"},
                                .address = upstream_address,
                                .data_centre = {"north"},
                                .created = steady_time{milliseconds{10'000}}}};
    steady_time time{milliseconds{10'000}};

    upstream_change announce(const upstream_announcement& received) { return registry.on_announcement(received, time); }
    upstream_change restore(const std::vector<upstream_departure>& departures) {
        return registry.restore(departures, time);
    }
};

// Registry of a process that knows that no earlier process on its host recorded a departure.
struct fixture : restarted_fixture {
    fixture() { static_cast<void>(restore({})); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_announcements)

// Guards against accepting a heartbeat that was delayed until the upstream was started again.
BOOST_FIXTURE_TEST_CASE(heartbeats_of_an_earlier_start_are_ignored, fixture) {
    BOOST_TEST((announce(announcement(9)) == upstream_change::started));
    time += milliseconds{3'000};
    BOOST_TEST((announce(announcement(1, 200)) == upstream_change::started));
    BOOST_TEST((announce(announcement(10)) == upstream_change::none));
    BOOST_TEST((announce(announcement(2, 200)) == upstream_change::renewed));
}

// Guards against a late heartbeat that reactivates an upstream after it has announced its shutdown.
BOOST_FIXTURE_TEST_CASE(leaving_is_final_for_a_start, fixture) {
    static_cast<void>(announce(announcement(1)));
    BOOST_TEST((registry.on_withdrawal("u-1", now) == upstream_change::leaving));
    BOOST_TEST((announce(announcement(5)) == upstream_change::none));
    BOOST_TEST((announce(announcement(1, 300)) == upstream_change::started));
    BOOST_TEST((registry.on_withdrawal("u-2", now) == upstream_change::none));
}

// Guards against forged heartbeats for another service or address.
BOOST_FIXTURE_TEST_CASE(other_services_and_addresses_are_ignored, fixture) {
    auto forged = announcement(1);
    forged.service = {"bills"};
    BOOST_TEST((announce(forged) == upstream_change::none));
    forged = announcement(1);
    forged.address = node_id{2, 80};
    BOOST_TEST((announce(forged) == upstream_change::none));
}

// Guards against a cold upstream that is gossiped as warm, and against a warm one that is gossiped as cold.
BOOST_FIXTURE_TEST_CASE(upstream_is_warm_once_it_says_so, fixture) {
    auto cold = announcement(1);
    cold.remaining_cold_start = milliseconds{1'200};
    static_cast<void>(announce(cold));
    BOOST_TEST(!registry.info().warm);
    BOOST_TEST((announce(announcement(2)) == upstream_change::renewed));
    BOOST_TEST(registry.info().warm);
}

// Guards against a process that takes a late heartbeat of an upstream for a start, although the process before it on
// the host has acknowledged that the upstream leaves.
BOOST_FIXTURE_TEST_CASE(late_heartbeat_after_a_restart_is_no_start, restarted_fixture) {
    const upstream_departure departure{.id = "u-1", .started = announcement(1).started};
    BOOST_TEST((announce(announcement(7)) == upstream_change::none));
    BOOST_TEST((restore({departure}) == upstream_change::none));
    BOOST_TEST((announce(announcement(8)) == upstream_change::none));
    BOOST_TEST(registry.id() == "");
    const auto left = draining(announcement(9));
    BOOST_TEST((announce(left) == upstream_change::leaving));
    BOOST_TEST((announce(announcement(1, 200)) == upstream_change::started));
}

// Guards against a restarted process that does not use an upstream that is still in service.
BOOST_FIXTURE_TEST_CASE(heartbeat_before_the_departure_is_known_is_kept, restarted_fixture) {
    BOOST_TEST((announce(announcement(7)) == upstream_change::none));
    BOOST_TEST((restore({upstream_departure{.id = "u-0", .started = now}}) == upstream_change::started));
    BOOST_TEST((announce(announcement(8)) == upstream_change::renewed));
}

// Guards against an upstream that stays out of use as long as the store cannot be read, and against late heartbeats,
// also several in order, that are taken for a start meanwhile.
BOOST_FIXTURE_TEST_CASE(heartbeats_confirm_a_start_without_the_store_once_none_can_be_late, restarted_fixture) {
    for (std::uint64_t sequence = 7; sequence < 11; ++sequence) {
        BOOST_TEST((announce(announcement(sequence)) == upstream_change::none));
        time += milliseconds{1'200};
    }
    time = steady_time{milliseconds{10'000}} + max_announcement_delay;
    BOOST_TEST((announce(announcement(10)) == upstream_change::none));
    BOOST_TEST((announce(announcement(11)) == upstream_change::started));
    BOOST_TEST(
        (restore({upstream_departure{.id = "u-1", .started = announcement(1).started}}) == upstream_change::leaving));
}

// Guards against a withdrawal that is forgotten because the process has received no heartbeat of the upstream yet.
BOOST_FIXTURE_TEST_CASE(withdrawal_before_the_first_heartbeat_is_final, restarted_fixture) {
    BOOST_TEST((registry.on_withdrawal("u-1", now) == upstream_change::leaving));
    BOOST_TEST((restore({}) == upstream_change::none));
    BOOST_TEST((announce(announcement(5)) == upstream_change::none));
    BOOST_TEST((registry.departures() == std::vector{upstream_departure{.id = "u-1", .started = now}}));
    BOOST_TEST((announce(announcement(1, 2'000)) == upstream_change::started));
}

// Guards against a recorded departure that is lost because another upstream withdrew before it was read.
BOOST_FIXTURE_TEST_CASE(withdrawal_of_another_upstream_keeps_the_recorded_departure, restarted_fixture) {
    BOOST_TEST((registry.on_withdrawal("u-0", now) == upstream_change::leaving));
    const upstream_departure departure{.id = "u-1", .started = announcement(1).started};
    BOOST_TEST((restore({departure}) == upstream_change::none));
    BOOST_TEST((announce(announcement(7)) == upstream_change::none));
    const auto left = draining(announcement(8));
    BOOST_TEST((announce(left) == upstream_change::leaving));
    BOOST_TEST((registry.departures() == std::vector{upstream_departure{.id = "u-0", .started = now}, departure}));
}

// Guards against a heartbeat of another writer that takes the place of an upstream in use; the upstream would stay out
// of use, because its own heartbeats name an earlier start.
BOOST_FIXTURE_TEST_CASE(single_heartbeat_does_not_displace_an_upstream_in_use, fixture) {
    static_cast<void>(announce(announcement(1)));
    for (std::uint64_t sequence = 2; sequence < 6; ++sequence) {
        time += milliseconds{700};
        BOOST_TEST((announce(announcement_of("u-9", sequence, 900)) == upstream_change::none));
        BOOST_TEST((announce(announcement(sequence, 900)) == upstream_change::none));
        time += milliseconds{800};
        BOOST_TEST((announce(announcement(sequence)) == upstream_change::renewed));
    }
    BOOST_TEST(registry.id() == "u-1");
}

// Guards against a new start that is not used although the one before it has ended.
BOOST_FIXTURE_TEST_CASE(new_start_displaces_an_upstream_that_is_silent, fixture) {
    static_cast<void>(announce(announcement(1)));
    time += milliseconds{100};
    BOOST_TEST((announce(announcement_of("u-2", 1, 200)) == upstream_change::none));
    time += milliseconds{1'500};
    BOOST_TEST((announce(announcement_of("u-2", 2, 200)) == upstream_change::started));
    time += milliseconds{2'250};
    BOOST_TEST((announce(announcement_of("u-3", 1, 300)) == upstream_change::started));
}

// Guards against seconds without an upstream after a quick restart: the upstream itself answers that it is another one.
BOOST_FIXTURE_TEST_CASE(new_start_is_used_once_the_upstream_refuses_the_id_of_the_old_one, fixture) {
    static_cast<void>(announce(announcement(1)));
    BOOST_TEST((registry.on_misdirected(time) == upstream_change::none));
    static_cast<void>(announce(announcement_of("u-2", 1, 200)));
    BOOST_TEST((registry.on_misdirected(time) == upstream_change::started));
    BOOST_TEST(registry.id() == "u-2");
    BOOST_TEST((registry.on_misdirected(time) == upstream_change::none));
}

// Guards against an upstream that stays out of use for good, because the first heartbeat that was received came from
// another writer and stated a later start, or a higher sequence number.
BOOST_FIXTURE_TEST_CASE(earlier_start_is_used_if_nothing_else_is_received, fixture) {
    for (const auto& odd : {announcement_of("u-9", 1, 9'000), announcement(1, 9'000), announcement(1'000'000)}) {
        time += milliseconds{10'000};
        static_cast<void>(announce(odd));
        std::uint64_t sequence = 1;
        for (; sequence < 10 && announce(announcement(sequence)) != upstream_change::started; ++sequence) {
            time += milliseconds{1'500};
        }
        BOOST_TEST(sequence < 6U);
        BOOST_TEST(registry.info().generation == 100U);
        registry = upstream_registry{{.service = {"orders"}, .address = upstream_address, .data_centre = {"north"}}};
        static_cast<void>(restore({}));
    }
}

// Guards against a late departure of a former start that takes the present upstream out of use.
BOOST_FIXTURE_TEST_CASE(departure_of_a_former_start_does_not_affect_the_present_one, fixture) {
    static_cast<void>(announce(announcement(1)));
    static_cast<void>(announce(draining(announcement(2))));
    BOOST_TEST((announce(announcement(1, 300)) == upstream_change::started));
    BOOST_TEST((announce(draining(announcement(3))) == upstream_change::departed));
    BOOST_TEST((announce(draining(announcement_of("u-0", 1, 50))) == upstream_change::departed));
    BOOST_TEST((announce(announcement(2, 300)) == upstream_change::renewed));
    BOOST_TEST((announce(draining(announcement(3, 300))) == upstream_change::leaving));
}

// Guards against an upstream of another data centre, which no host of this one has.
BOOST_FIXTURE_TEST_CASE(other_data_centres_are_ignored, fixture) {
    auto odd = announcement(1);
    odd.data_centre = {"south"};
    BOOST_TEST((announce(odd) == upstream_change::none));
    BOOST_TEST((announce(draining(odd)) == upstream_change::none));
    BOOST_TEST(registry.departures().empty());
}

// Guards against a departure that is forgotten because others were announced after it and took its place in the record:
// the process after the next one would use the upstream again.
BOOST_FIXTURE_TEST_CASE(later_departures_do_not_displace_earlier_ones, restarted_fixture) {
    BOOST_TEST(
        (restore({upstream_departure{.id = "u-1", .started = announcement(1).started}}) == upstream_change::none));
    BOOST_TEST((registry.on_withdrawal("u-9", now) == upstream_change::leaving));
    BOOST_TEST((announce(draining(announcement_of("u-2", 1, 200))) == upstream_change::leaving));
    const auto recorded = registry.departures();
    BOOST_TEST(recorded.size() == 3U);
    registry = upstream_registry{{.service = {"orders"}, .address = upstream_address, .data_centre = {"north"}}};
    BOOST_TEST((restore(recorded) == upstream_change::none));
    for (const auto& late : {announcement(9), announcement_of("u-2", 2, 200), announcement_of("u-9", 2, 900)}) {
        BOOST_TEST((announce(late) == upstream_change::none));
    }
    BOOST_TEST((announce(announcement(1, 300)) == upstream_change::started));
}

BOOST_AUTO_TEST_SUITE_END()
