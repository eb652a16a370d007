#include "goldcrestwell/core/node/departure_recorder.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;

namespace {

const upstream_departure first{.id = "u-1", .started = wall_time{milliseconds{100}}};
const upstream_departure second{.id = "u-2", .started = wall_time{milliseconds{200}}};

struct fixture {
    std::vector<upstream_departure> writes;
    std::vector<bool> recorded;
    int acknowledgements{};
    departure_recorder recorder{{.write = [this](const upstream_departure& departure) { writes.push_back(departure); },
                                 .acknowledged =
                                     [this](const upstream_departure&, const bool is_recorded) {
                                         recorded.push_back(is_recorded);
                                     }}};
    steady_time now{std::chrono::seconds{10}};

    void record(const upstream_departure& departure) {
        recorder.record(
            departure, [this] { ++acknowledgements; }, now);
    }
    void advance(const milliseconds time) {
        for (const auto end = now + time; now < end;) {
            now += milliseconds{10};
            recorder.on_timer(now);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(departure_records, fixture)

// Guards against a departure that is acknowledged before it is recorded: after a kill the next process would not know
// of it.
BOOST_AUTO_TEST_CASE(departure_is_acknowledged_after_it_was_recorded) {
    record(first);
    advance(milliseconds{100});
    BOOST_TEST(acknowledgements == 0);
    recorder.on_written(true, now);
    BOOST_TEST(acknowledgements == 1);
    BOOST_TEST((recorded == std::vector{true}));
    BOOST_TEST(!recorder.next_timer().has_value());
}

// Guards against a write for each heartbeat of a draining upstream.
BOOST_AUTO_TEST_CASE(recorded_departure_is_acknowledged_at_once) {
    record(first);
    record(first);
    recorder.on_written(true, now);
    BOOST_TEST(acknowledgements == 2);
    record(first);
    BOOST_TEST(acknowledgements == 3);
    BOOST_TEST((writes == std::vector{first}));
}

// Guards against an upstream that waits in vain for its acknowledgement while the store is down, and against a
// departure that is never recorded.
BOOST_AUTO_TEST_CASE(departure_is_acknowledged_while_the_store_is_down) {
    record(first);
    for (int failure = 0; failure < 3; ++failure) {
        recorder.on_written(false, now);
        advance(milliseconds{1'000});
    }
    BOOST_TEST(acknowledgements == 1);
    BOOST_TEST((recorded == std::vector{false}));
    BOOST_TEST(writes.size() == 4U);
    recorder.on_written(true, now);
    BOOST_TEST(acknowledgements == 1);
    BOOST_TEST(!recorder.next_timer().has_value());
}

// Guards against a write that does not end, on a store that does not respond.
BOOST_AUTO_TEST_CASE(acknowledgement_does_not_wait_for_a_write_without_result) {
    record(first);
    advance(milliseconds{490});
    BOOST_TEST(acknowledgements == 0);
    advance(milliseconds{20});
    BOOST_TEST(acknowledgements == 1);
}

// Guards against a departure that is lost because an earlier one is being written.
BOOST_AUTO_TEST_CASE(departure_during_a_write_is_recorded_after_it) {
    record(first);
    record(second);
    BOOST_TEST((writes == std::vector{first}));
    recorder.on_written(true, now);
    BOOST_TEST((writes == std::vector{first, second}));
    BOOST_TEST(acknowledgements == 0);
    recorder.on_written(true, now);
    BOOST_TEST(acknowledgements == 2);
}

BOOST_AUTO_TEST_SUITE_END()
