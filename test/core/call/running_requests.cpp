#include "goldcrestwell/core/call/running_requests.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(running_requests_suite)

// Guards against treating a nested call as a new request, and against treating a caller's request as a nested call.
BOOST_AUTO_TEST_CASE(parent_is_the_running_request_whose_id_is_extended) {
    running_requests running;
    running.add("a1", {.row = {.route = {"reads"}, .version = {"v1"}}, .hops = 1});
    const auto* parent = running.parent_of("a1.b2");
    BOOST_REQUIRE(parent != nullptr);
    BOOST_TEST(parent->row.route.value == "reads");
    BOOST_TEST(parent->hops == 1U);
    BOOST_TEST(running.parent_of("a1") == nullptr);
    BOOST_TEST(running.parent_of("a2.b2") == nullptr);
    BOOST_TEST(running.parent_of("") == nullptr);
    BOOST_TEST(!parent->call_failed);
    running.on_call_failed("a1.b2");
    BOOST_TEST(running.remove("a1")->call_failed);
    BOOST_TEST(running.parent_of("a1.b2") == nullptr);
}

// Guards against a memory leak: a request without an id can not be removed.
BOOST_AUTO_TEST_CASE(requests_without_an_id_are_not_stored) {
    running_requests running;
    running.add("", {});
    BOOST_TEST(running.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
