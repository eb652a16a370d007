#include "goldcrestwell/core/node/departure_recorder.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;

namespace {

const upstream_departure first{.id = "u-1", .started = wall_time{milliseconds{100}}};
const upstream_departure second{.id = "u-2", .started = wall_time{milliseconds{200}}};

struct fixture {
    using departures = std::vector<upstream_departure>;
    using records = std::vector<departures>;

    std::vector<departures> writes;
    std::vector<bool> recorded;
    int acknowledgements{};
    int refusals{};
    departure_recorder recorder{{.write = [this](const departures& written) { writes.push_back(written); },
                                 .answered =
                                     [this](const upstream_departure&, const bool is_recorded) {
                                         recorded.push_back(is_recorded);
                                     }}};
    steady_time now{std::chrono::seconds{10}};

    void record(const departures& left) {
        recorder.record(
            left, [this](const bool acknowledged) { ++(acknowledged ? acknowledgements : refusals); }, now);
    }
    void advance(const milliseconds time) {
        for (const auto end = now + time; now < end;) {
            now += milliseconds{10};
            recorder.on_timer(now);
        }
    }
};

// Recorder of a process that has read the record of earlier ones.
struct started_fixture : fixture {
    started_fixture() { recorder.start({}); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(departure_records, started_fixture)

// Guards against a departure that is acknowledged before it is recorded: after a kill the next process would not know
// of it.
BOOST_AUTO_TEST_CASE(departure_is_acknowledged_after_it_was_recorded) {
    record({first});
    advance(milliseconds{100});
    BOOST_TEST(acknowledgements == 0);
    recorder.on_written(true, now);
    BOOST_TEST(acknowledgements == 1);
    BOOST_TEST((recorded == std::vector{true}));
    BOOST_TEST(!recorder.next_timer().has_value());
}

// Guards against a write for each heartbeat of a draining upstream.
BOOST_AUTO_TEST_CASE(recorded_departure_is_acknowledged_at_once) {
    record({first});
    record({first});
    recorder.on_written(true, now);
    BOOST_TEST(acknowledgements == 2);
    record({first});
    BOOST_TEST(acknowledgements == 3);
    BOOST_TEST((writes == records{{first}}));
}

// Guards against a departure that is acknowledged while the store is down: nothing would know of it if the process, or
// all processes, ended. Guards against a departure that is not recorded once the store is back.
BOOST_AUTO_TEST_CASE(departure_is_not_acknowledged_while_the_store_is_down) {
    record({first});
    for (int failure = 0; failure < 3; ++failure) {
        recorder.on_written(false, now);
        advance(milliseconds{1'000});
        record({first});
    }
    BOOST_TEST(acknowledgements == 0);
    BOOST_TEST(refusals == 3);
    BOOST_TEST(writes.size() == 4U);
    recorder.on_written(true, now);
    BOOST_TEST(acknowledgements == 1);
    BOOST_TEST((recorded == std::vector{false, false, false, true}));
    BOOST_TEST(!recorder.next_timer().has_value());
}

// Guards against an upstream that waits in vain for an answer, on a store that does not respond.
BOOST_AUTO_TEST_CASE(answer_does_not_wait_for_a_write_without_result) {
    record({first});
    advance(milliseconds{890});
    BOOST_TEST(refusals == 0);
    advance(milliseconds{20});
    BOOST_TEST(refusals == 1);
    BOOST_TEST(acknowledgements == 0);
    record({first});
    BOOST_TEST(writes.size() == 1U);
    recorder.on_written(true, now);
    BOOST_TEST(acknowledgements == 1);
}

// Guards against a record that replaces the departures that earlier processes recorded, before they are known.
BOOST_FIXTURE_TEST_CASE(nothing_is_written_before_the_record_of_earlier_processes_is_known, fixture) {
    record({second});
    advance(milliseconds{500});
    BOOST_TEST(writes.empty());
    recorder.start({first, second});
    BOOST_TEST((writes == records{{first, second}}));
    recorder.on_written(true, now);
    BOOST_TEST(acknowledgements == 1);
}

// Guards against a departure that is lost because an earlier one is being written.
BOOST_AUTO_TEST_CASE(departure_during_a_write_is_recorded_after_it) {
    record({first});
    record({first, second});
    BOOST_TEST((writes == records{{first}}));
    recorder.on_written(true, now);
    BOOST_TEST((writes == records{{first}, {first, second}}));
    BOOST_TEST(acknowledgements == 0);
    recorder.on_written(true, now);
    BOOST_TEST(acknowledgements == 2);
}

// Guards against an acknowledged departure that is forgotten after the store has returned from an older copy.
BOOST_AUTO_TEST_CASE(recorded_departures_are_recorded_again_after_the_history_was_replaced) {
    record({first});
    recorder.on_written(true, now);
    recorder.on_history_replaced();
    BOOST_TEST((writes == records{{first}, {first}}));
    recorder.on_written(false, now);
    advance(milliseconds{100});
    BOOST_TEST((writes == records{{first}, {first}, {first}}));
    recorder.on_written(true, now);
    BOOST_TEST(acknowledgements == 1);
    BOOST_TEST(!recorder.next_timer().has_value());
}

// Guards against a departure that an earlier process acknowledged and that only the lost records held.
BOOST_FIXTURE_TEST_CASE(departures_of_earlier_processes_are_recorded_again, fixture) {
    recorder.start({first});
    BOOST_TEST(writes.empty());
    recorder.on_history_replaced();
    BOOST_TEST((writes == records{{first}}));
    recorder.on_written(true, now);
    record({first, second});
    recorder.on_written(true, now);
    recorder.on_history_replaced();
    BOOST_TEST((writes == records{{first}, {first, second}, {first, second}}));
}

// Guards against an acknowledgement by a write that the store applied before it lost its newest records.
BOOST_AUTO_TEST_CASE(write_of_the_replaced_history_acknowledges_nothing) {
    record({first});
    recorder.on_history_replaced();
    BOOST_TEST((writes == records{{first}}));
    recorder.on_written(true, now);
    BOOST_TEST(acknowledgements == 0);
    BOOST_TEST((writes == records{{first}, {first}}));
    recorder.on_history_replaced();
    recorder.on_written(false, now);
    BOOST_TEST((writes == records{{first}, {first}, {first}}));
    recorder.on_written(true, now);
    BOOST_TEST(acknowledgements == 1);
    BOOST_TEST(!recorder.next_timer().has_value());
}

// Guards against an acknowledgement from memory while the departure is not recorded in the present history.
BOOST_AUTO_TEST_CASE(departure_is_not_acknowledged_from_the_replaced_history) {
    record({first});
    recorder.on_written(true, now);
    recorder.on_history_replaced();
    record({first});
    BOOST_TEST(acknowledgements == 1);
    BOOST_TEST(writes.size() == 2U);
    recorder.on_written(true, now);
    BOOST_TEST(acknowledgements == 2);
}

BOOST_AUTO_TEST_CASE(nothing_is_written_without_a_departure) {
    recorder.on_history_replaced();
    advance(milliseconds{1'000});
    BOOST_TEST(writes.empty());
    BOOST_TEST(!recorder.next_timer().has_value());
}

// Guards against a record that replaces the departures that earlier processes recorded, before they are known.
BOOST_FIXTURE_TEST_CASE(replaced_history_does_not_allow_writes_before_the_start, fixture) {
    record({second});
    recorder.on_history_replaced();
    BOOST_TEST(writes.empty());
    recorder.start({first, second});
    BOOST_TEST((writes == records{{first, second}}));
}

BOOST_AUTO_TEST_SUITE_END()
