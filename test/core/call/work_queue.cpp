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
const row_key normal{.route = {"read"}, .version = {"v1"}};
const steady_time start{seconds{100}};
constexpr milliseconds service_time{100};

attempt_id attempt_id_of(const std::uint64_t sequence) {
    return {.origin = node_id{1, 1}, .start_incarnation = incarnation{1}, .sequence = sequence};
}

std::vector<std::uint64_t> pop_all(work_queue& queue, const steady_time now) {
    std::vector<std::uint64_t> order;
    const auto no_limit = [](const attempt_id&) {
        return std::numeric_limits<std::uint32_t>::max();
    };
    const auto service_time_of_row = [](const row_key&) {
        return service_time;
    };
    while (const auto id = queue.pop(no_limit, service_time_of_row, now)) {
        order.push_back(id->sequence);
    }
    return order;
}

} // namespace

BOOST_AUTO_TEST_SUITE(work_queue_suite)

// Guards against answering no attempt in time during a steady overload: if attempts start in the order of arrival,
// every attempt waits until it is late.
BOOST_AUTO_TEST_CASE(attempts_in_time_go_before_late_ones) {
    work_queue queue;
    queue.push(normal, attempt_id_of(1), {.priority = 2, .due = start + milliseconds{50}});
    queue.push(normal, attempt_id_of(2), {.priority = 2, .due = start + milliseconds{90}});
    queue.push(normal, attempt_id_of(3), {.priority = 2, .due = start + milliseconds{400}});
    BOOST_TEST(pop_all(queue, start) == (std::vector<std::uint64_t>{3, 1, 2}), boost::test_tools::per_element());
}

// Guards against urgent attempts that wait behind attempts of lower priority: refusing a nested call of a running
// request wastes the run that waits for it.
BOOST_AUTO_TEST_CASE(routes_of_higher_priority_go_first) {
    work_queue queue;
    queue.push(normal, attempt_id_of(1), {.priority = 2, .due = start + milliseconds{300}});
    queue.push(urgent, attempt_id_of(2), {.priority = 1, .due = start + milliseconds{500}});
    queue.push(urgent, attempt_id_of(3), {.priority = 1, .due = start + milliseconds{400}});
    BOOST_TEST(pop_all(queue, start) == (std::vector<std::uint64_t>{3, 2, 1}), boost::test_tools::per_element());
}

// Guards against starving other routes when one of three upstreams is left and urgent calls alone would fill it.
BOOST_AUTO_TEST_CASE(urgent_routes_do_not_starve_the_others) {
    work_queue queue;
    for (std::uint64_t i = 1; i <= 4; ++i) {
        queue.push(normal, attempt_id_of(i), {.priority = 2, .due = start + milliseconds{400}});
    }
    for (std::uint64_t i = 5; i <= 20; ++i) {
        queue.push(urgent, attempt_id_of(i), {.priority = 1, .due = start + milliseconds{300}});
    }
    const auto order = pop_all(queue, start);
    const auto normal_count = std::count_if(order.begin(), order.begin() + 16, [](const auto id) { return id <= 4; });
    BOOST_TEST(normal_count == 1);
}

// Guards against reordering attempts of routes without objectives.
BOOST_AUTO_TEST_CASE(attempts_without_objectives_are_taken_in_order_of_arrival) {
    work_queue queue;
    queue.push(normal, attempt_id_of(1));
    queue.push(urgent, attempt_id_of(2));
    queue.push(normal, attempt_id_of(3));
    BOOST_TEST(pop_all(queue, start) == (std::vector<std::uint64_t>{1, 2, 3}), boost::test_tools::per_element());
}

// Guards against refusing or queuing the wrong attempts in a burst: the work before an attempt decides whether it may
// wait. Late attempts do not count, because attempts in time go before them.
BOOST_AUTO_TEST_CASE(work_before_counts_attempts_that_go_first) {
    work_queue queue;
    const auto service_time_of_row = [](const row_key&) {
        return service_time;
    };
    queue.push(normal, attempt_id_of(1), {.priority = 2, .due = start + milliseconds{50}});
    queue.push(normal, attempt_id_of(2), {.priority = 2, .due = start + milliseconds{300}});
    queue.push(urgent, attempt_id_of(3), {.priority = 1, .due = start + milliseconds{900}});
    const queue_key next{.priority = 2, .due = start + milliseconds{500}};
    BOOST_TEST((queue.work_before(next, service_time_of_row, start) == 2 * service_time));
    BOOST_TEST((queue.work_before({.priority = 1, .due = next.due}, service_time_of_row, start) == milliseconds{}));
    BOOST_TEST(queue.late_count(service_time_of_row, start) == 1U);
}

// Guards against new requests overtaking nested calls when a service has lost upstreams: the requests that make the
// calls occupy slots of their own service while they wait.
BOOST_AUTO_TEST_CASE(nested_calls_go_before_new_requests) {
    work_queue queue;
    const auto service_time_of_row = [](const row_key&) {
        return service_time;
    };
    queue.push(urgent, attempt_id_of(1), {.depth = 1, .priority = 1, .due = start + milliseconds{200}});
    queue.push(normal, attempt_id_of(2), {.depth = 2, .priority = 2, .due = start + milliseconds{300}});
    const queue_key request{.depth = 1, .priority = 1, .due = start + milliseconds{500}};
    const queue_key call{.depth = 2, .priority = 2, .due = start + milliseconds{500}};
    BOOST_TEST((queue.work_before(request, service_time_of_row, start) == 2 * service_time));
    BOOST_TEST((queue.work_before(call, service_time_of_row, start) == service_time));
    BOOST_TEST(pop_all(queue, start) == (std::vector<std::uint64_t>{2, 1}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
