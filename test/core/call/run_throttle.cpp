#include "goldcrestwell/core/call/run_throttle.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const row_key reads{.route = {"reads"}, .version = {"v1"}};
const row_key payments{.route = {"payments"}, .version = {"v1"}};

/** @brief Runs of a row that each make two calls to a service with a capacity of `capacity` calls per second. */
struct overloaded_service {
    static constexpr milliseconds tick{5};
    /** @brief Maximum number of calls that an idle service accepts at once. */
    static constexpr double slots = 4.0;

    void run_for(const seconds length, const double runs_per_second, const double capacity) {
        const std::chrono::duration<double> tick_seconds = tick;
        for (milliseconds elapsed{}; elapsed < length; elapsed += tick) {
            now += tick;
            free_capacity = std::min(free_capacity + capacity * tick_seconds.count(), slots);
            due_runs += runs_per_second * tick_seconds.count();
            for (; due_runs >= 1.0; due_runs -= 1.0) {
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
            const auto refused = free_capacity < 1.0;
            throttle.on_nested_call(reads, refused, now);
            if (refused) {
                ++failed;
                return;
            }
            free_capacity -= 1.0;
        }
    }

    run_throttle throttle;
    steady_time now{seconds{100}};
    double free_capacity{};
    double due_runs{};
    int offered{};
    int started{};
    int failed{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(throttle_of_runs)

// Guards against runs that start, occupy a slot of their own service and fail at their second call, when two of three
// upstreams of the called service are gone and it can accept only half of the calls.
BOOST_AUTO_TEST_CASE(runs_are_limited_by_the_capacity_of_the_called_service) {
    overloaded_service service;
    service.run_for(seconds{5}, 30.0, 30.0);
    service.started = 0;
    service.failed = 0;
    service.offered = 0;
    service.run_for(seconds{20}, 30.0, 30.0);
    BOOST_TEST(service.started < service.offered);
    // Without a throttle, at least a third of the runs fail at a call.
    BOOST_TEST(service.failed * 5 < service.started);
    // The capacity suffices for fifteen runs per second; the throttle may leave some of it unused while it adapts.
    BOOST_TEST((service.started - service.failed) * 10 > 20 * 15 * 7);
}

// Guards against runs that are still refused after the called service has recovered.
BOOST_AUTO_TEST_CASE(all_runs_start_again_after_recovery) {
    overloaded_service service;
    service.run_for(seconds{10}, 30.0, 10.0);
    service.run_for(seconds{4}, 30.0, 200.0);
    service.started = 0;
    service.offered = 0;
    service.run_for(seconds{5}, 30.0, 200.0);
    BOOST_TEST(service.started == service.offered);
}

// Guards against refusing runs of a row that makes no nested calls because the calls of another row are refused.
BOOST_AUTO_TEST_CASE(rows_without_nested_calls_are_not_refused) {
    overloaded_service service;
    service.run_for(seconds{5}, 30.0, 5.0);
    for (int call = 0; call < 20; ++call) {
        BOOST_TEST(service.throttle.admit(payments, service.now));
    }
}

BOOST_AUTO_TEST_SUITE_END()
