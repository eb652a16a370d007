#include "goldcrestwell/core/message/join.hpp"

#include "generators.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(rollout_state_join)

// Guards against replicas that diverge because they received the same updates in a different order or repeatedly.
BOOST_AUTO_TEST_CASE(join_is_commutative_associative_and_idempotent) {
    BOOST_TEST(rc::check("commutative",
                         [](const rollout_state& a, const rollout_state& b) { RC_ASSERT(join(a, b) == join(b, a)); }));
    BOOST_TEST(rc::check("associative", [](const rollout_state& a, const rollout_state& b, const rollout_state& c) {
        RC_ASSERT(join(join(a, b), c) == join(a, join(b, c)));
    }));
    BOOST_TEST(rc::check("idempotent", [](const rollout_state& a) { RC_ASSERT(join(a, a) == a); }));
}

// Guards against a late update that lowers a stage or cancels a rollback.
BOOST_AUTO_TEST_CASE(join_never_decreases_a_state) {
    BOOST_TEST(rc::check("monotone", [](const rollout_state& a, const rollout_state& b) {
        const auto both = join(a, b);
        RC_ASSERT(both.stage >= a.stage);
        RC_ASSERT(both.rechecks == std::max(a.rechecks, b.rechecks));
        RC_ASSERT(both.rolled_back == (a.rolled_back || b.rolled_back));
        RC_ASSERT(covers(both, a) && covers(both, b));
    }));
}

BOOST_AUTO_TEST_SUITE_END()
