#include "goldcrestwell/cli/process_options.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(sidecar_options)

// Guards against a draining node that accepts calls too long, so that the kill of the process interrupts them. In a
// rolling restart of slow hosts under load, a download accepted 3.85 s after the signal was cut off at 5.68 s, with
// half of its response written.
BOOST_AUTO_TEST_CASE(stopping_node_leaves_time_for_its_last_calls) {
    constexpr seconds longest_call{3};
    for (const auto grace : {seconds{6}, seconds{10}, seconds{30}}) {
        const auto options = to_process_options(sidecar_settings{.shutdown_timeout = grace}, wall_time{seconds{1}}, 1);
        BOOST_TEST(options.core.drain_refusal_delay.count() <= milliseconds{grace - longest_call}.count());
        BOOST_TEST(options.caller_close_delay.count() <= milliseconds{grace - longest_call}.count());
        BOOST_TEST(options.drain_limit.count() < milliseconds{grace}.count());
    }
}

BOOST_AUTO_TEST_SUITE_END()
