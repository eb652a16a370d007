#include "goldcrestwell/core/call/run_throttle.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const row_key reads{.route = {"reads"}, .version = {"v1"}};
const row_key payments{.route = {"payments"}, .version = {"v1"}};

/** @brief Runs of a row that make two calls each to a service with room for `room` calls a second. */
struct overloaded_service {
    static constexpr milliseconds tick{5};
    /** @brief Calls that the service takes at once after a pause. */
    static constexpr double slots = 4.0;

    void run_for(const seconds length, const double runs_per_second, const double room) {
        const std::chrono::duration<double> each = tick;
        for (milliseconds passed{}; passed < length; passed += tick) {
            now += tick;
            free = std::min(free + room * each.count(), slots);
            due += runs_per_second * each.count();
            for (; due >= 1.0; due -= 1.0) {
                ++offered;
                if (throttle.admit(reads, now)) {
                    run();
                }
            }
        }
    }

    void run() {
        ++started;
        for (int call = 0; call < 2; ++call) {
            const auto refused = free < 1.0;
            throttle.on_nested_call(reads, refused, now);
            if (refused) {
                ++failed;
                return;
            }
            free -= 1.0;
        }
    }

    run_throttle throttle;
    steady_time now{seconds{100}};
    double free{};
    double due{};
    int offered{};
    int started{};
    int failed{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(throttle_of_runs)

// Load pattern: two of three upstreams of a called service have gone, so it has room for half of the calls. Guards
// against runs that start, take a slot of their own service and fail at their second call.
BOOST_AUTO_TEST_CASE(runs_follow_the_room_of_the_service_that_they_call) {
    overloaded_service service;
    service.run_for(seconds{5}, 30.0, 30.0);
    service.started = 0;
    service.failed = 0;
    service.offered = 0;
    service.run_for(seconds{20}, 30.0, 30.0);
    BOOST_TEST(service.started < service.offered);
    // Without a throttle a third of the runs or more fail at a call.
    BOOST_TEST(service.failed * 5 < service.started);
    // Room for fifteen runs a second; the search for the right part may leave some of it unused.
    BOOST_TEST((service.started - service.failed) * 10 > 20 * 15 * 7);
}

// Guards against a service that stays refused after the one that it calls has recovered.
BOOST_AUTO_TEST_CASE(all_runs_start_again_after_recovery) {
    overloaded_service service;
    service.run_for(seconds{10}, 30.0, 10.0);
    service.run_for(seconds{4}, 30.0, 200.0);
    service.started = 0;
    service.offered = 0;
    service.run_for(seconds{5}, 30.0, 200.0);
    BOOST_TEST(service.started == service.offered);
}

// Guards against rows that make no calls and are refused because of others.
BOOST_AUTO_TEST_CASE(other_rows_are_not_refused) {
    overloaded_service service;
    service.run_for(seconds{5}, 30.0, 5.0);
    for (int call = 0; call < 20; ++call) {
        BOOST_TEST(service.throttle.admit(payments, service.now));
    }
}

BOOST_AUTO_TEST_SUITE_END()
