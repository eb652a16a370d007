#include "goldcrestwell/core/message/message_body.hpp"

#include "goldcrestwell/core/common/memory_budget.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(message_bodies)

// Guards against counting a body once for each part of the process that holds it, or releasing it too early.
BOOST_AUTO_TEST_CASE(copies_share_bytes_and_memory) {
    const auto budget = std::make_shared<memory_budget>(memory_budget_options{.capacity_bytes = 100});
    message_body copy;
    {
        memory_reservation memory{budget};
        BOOST_REQUIRE(memory.resize(40, memory_use::small));
        const message_body body{std::string(30, 'b'), std::move(memory)};
        copy = body;
        BOOST_TEST(copy.str().data() == body.str().data());
        BOOST_TEST(budget->used() == 40U);
    }
    BOOST_TEST(budget->used() == 40U);
    copy = {};
    BOOST_TEST(budget->used() == 0U);
}

BOOST_AUTO_TEST_CASE(bodies_are_compared_by_their_bytes) {
    BOOST_TEST(message_body{} == "");
    BOOST_TEST(message_body{}.empty());
    BOOST_TEST(message_body{"abc"} == std::string{"abc"});
    BOOST_TEST(message_body{"abc"} == message_body{std::string_view{"abcd"}.substr(0, 3)});
    BOOST_TEST(!(message_body{"abc"} == "abd"));
    BOOST_TEST(std::string_view{message_body{"abc"}}.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
