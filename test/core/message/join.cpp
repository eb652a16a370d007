#include "goldcrestwell/core/message/join.hpp"

#include "generators.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(joins)

// Guards against replicas that differ after the same updates in another order.
BOOST_AUTO_TEST_CASE(order_and_repetition_do_not_matter) {
    BOOST_TEST(rc::check("commutative",
                         [](const rollout_state& a, const rollout_state& b) { RC_ASSERT(join(a, b) == join(b, a)); }));
    BOOST_TEST(rc::check("associative", [](const rollout_state& a, const rollout_state& b, const rollout_state& c) {
        RC_ASSERT(join(join(a, b), c) == join(a, join(b, c)));
    }));
    BOOST_TEST(rc::check("idempotent", [](const rollout_state& a) { RC_ASSERT(join(a, a) == a); }));
}

// Guards against a late update that lowers a stage or undoes a take-back.
BOOST_AUTO_TEST_CASE(a_state_never_shrinks) {
    BOOST_TEST(rc::check("monotone", [](const rollout_state& a, const rollout_state& b) {
        const auto both = join(a, b);
        RC_ASSERT(both.stage >= a.stage);
        RC_ASSERT(both.rechecks == std::max(a.rechecks, b.rechecks));
        RC_ASSERT(both.rolled_back == (a.rolled_back || b.rolled_back));
        RC_ASSERT(covers(both, a) && covers(both, b));
    }));
}

BOOST_AUTO_TEST_SUITE_END()
