#include "goldcrestwell/core/call/running_requests.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(requests_in_progress)

// Guards against calls of a running request that wait behind new requests, and against callers that pass theirs off as
// such calls.
BOOST_AUTO_TEST_CASE(call_belongs_to_the_request_whose_id_it_extends) {
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

// Guards against memory that requests without an id take for good.
BOOST_AUTO_TEST_CASE(requests_without_an_id_are_not_kept) {
    running_requests running;
    running.add("", {});
    BOOST_TEST(running.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
