#include "goldcrestwell/core/call/work_queue.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const row_key urgent{.route = {"pay"}, .version = {"v1"}};
const row_key usual{.route = {"read"}, .version = {"v1"}};
const steady_time start{seconds{100}};
constexpr milliseconds service_time{100};

attempt_id number(const std::uint64_t sequence) {
    return {.origin = node_id{1, 1}, .start_incarnation = incarnation{1}, .sequence = sequence};
}

std::vector<std::uint64_t> pop_all(work_queue& queue, const steady_time now) {
    std::vector<std::uint64_t> order;
    const auto no_limit = [](const attempt_id&) {
        return std::numeric_limits<std::uint32_t>::max();
    };
    const auto needed = [](const row_key&) {
        return service_time;
    };
    while (const auto id = queue.pop(no_limit, needed, now)) {
        order.push_back(id->sequence);
    }
    return order;
}

} // namespace

BOOST_AUTO_TEST_SUITE(queue_of_attempts)

// Load: steady overload. In order of arrival every attempt waits until it is late, and nobody is answered in time.
BOOST_AUTO_TEST_CASE(attempts_that_are_late_do_not_delay_those_in_time) {
    work_queue queue;
    queue.push(usual, number(1), {.priority = 2, .due = start + milliseconds{50}});
    queue.push(usual, number(2), {.priority = 2, .due = start + milliseconds{90}});
    queue.push(usual, number(3), {.priority = 2, .due = start + milliseconds{400}});
    BOOST_TEST(pop_all(queue, start) == (std::vector<std::uint64_t>{3, 1, 2}), boost::test_tools::per_element());
}

// Load: calls made by running requests arrive among new requests; refusing one wastes the run that waits for it.
BOOST_AUTO_TEST_CASE(more_urgent_routes_go_first) {
    work_queue queue;
    queue.push(usual, number(1), {.priority = 2, .due = start + milliseconds{300}});
    queue.push(urgent, number(2), {.priority = 1, .due = start + milliseconds{500}});
    queue.push(urgent, number(3), {.priority = 1, .due = start + milliseconds{400}});
    BOOST_TEST(pop_all(queue, start) == (std::vector<std::uint64_t>{3, 2, 1}), boost::test_tools::per_element());
}

// Load: one upstream is left of three, and the calls of running requests alone would fill it.
BOOST_AUTO_TEST_CASE(urgent_routes_do_not_starve_the_others) {
    work_queue queue;
    for (std::uint64_t i = 1; i <= 4; ++i) {
        queue.push(usual, number(i), {.priority = 2, .due = start + milliseconds{400}});
    }
    for (std::uint64_t i = 5; i <= 20; ++i) {
        queue.push(urgent, number(i), {.priority = 1, .due = start + milliseconds{300}});
    }
    const auto order = pop_all(queue, start);
    const auto usual_turns = std::count_if(order.begin(), order.begin() + 16, [](const auto id) { return id <= 4; });
    BOOST_TEST(usual_turns == 1);
}

// Guards against a new order for routes without objectives.
BOOST_AUTO_TEST_CASE(without_objectives_the_order_is_that_of_arrival) {
    work_queue queue;
    queue.push(usual, number(1));
    queue.push(urgent, number(2));
    queue.push(usual, number(3));
    BOOST_TEST(pop_all(queue, start) == (std::vector<std::uint64_t>{1, 2, 3}), boost::test_tools::per_element());
}

// Load: burst. The work before an attempt decides whether it may wait; late attempts do not count, they give way.
BOOST_AUTO_TEST_CASE(work_before_counts_what_gets_its_turn_first) {
    work_queue queue;
    const auto needed = [](const row_key&) {
        return service_time;
    };
    queue.push(usual, number(1), {.priority = 2, .due = start + milliseconds{50}});
    queue.push(usual, number(2), {.priority = 2, .due = start + milliseconds{300}});
    queue.push(urgent, number(3), {.priority = 1, .due = start + milliseconds{900}});
    const queue_rank next{.priority = 2, .due = start + milliseconds{500}};
    BOOST_TEST((queue.work_before(next, needed, start) == 2 * service_time));
    BOOST_TEST((queue.work_before({.priority = 1, .due = next.due}, needed, start) == milliseconds{}));
    BOOST_TEST(queue.late(needed, start) == 1U);
}

// Load: a service has lost upstreams, and requests that run elsewhere wait for their calls to it. Guards against runs
// that hold a slot of their own service while new requests pass their calls.
BOOST_AUTO_TEST_CASE(calls_of_running_requests_go_before_new_requests) {
    work_queue queue;
    const auto needed = [](const row_key&) {
        return service_time;
    };
    queue.push(urgent, number(1), {.depth = 1, .priority = 1, .due = start + milliseconds{200}});
    queue.push(usual, number(2), {.depth = 2, .priority = 2, .due = start + milliseconds{300}});
    const queue_rank request{.depth = 1, .priority = 1, .due = start + milliseconds{500}};
    const queue_rank call{.depth = 2, .priority = 2, .due = start + milliseconds{500}};
    BOOST_TEST((queue.work_before(request, needed, start) == 2 * service_time));
    BOOST_TEST((queue.work_before(call, needed, start) == service_time));
    BOOST_TEST(pop_all(queue, start) == (std::vector<std::uint64_t>{2, 1}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
