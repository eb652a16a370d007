#include "goldcrestwell/core/membership/rollout_cache.hpp"

#include "goldcrestwell/core/common/store_offset.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace goldcrestwell;

namespace {

const row_key row{.route = {"orders"}, .version = {"v2"}};

rollout_update update_of(const std::uint32_t era, const std::uint32_t number, const rollout_state& state) {
    return {.key = {.row = row, .row_version = make_store_offset(store_era{era}, number)}, .state = state};
}

} // namespace

BOOST_AUTO_TEST_SUITE(rollout_states)

BOOST_AUTO_TEST_CASE(newer_rollout_replaces_an_earlier_one_of_the_same_history) {
    rollout_cache cache;
    BOOST_TEST(cache.merge(update_of(1, 3, {.stage = 2})));
    BOOST_TEST(cache.merge(update_of(1, 9, {.stage = 1})));
    BOOST_TEST(!cache.merge(update_of(1, 3, {.stage = 3})));
    BOOST_TEST((cache.states() == std::vector{update_of(1, 9, {.stage = 1})}));
    BOOST_TEST(cache.merge(update_of(1, 9, {.rolled_back = true})));
    BOOST_REQUIRE(cache.find(row) != nullptr);
    BOOST_TEST((cache.find(row)->state == rollout_state{.stage = 1, .rolled_back = true}));
    BOOST_TEST(cache.find({.route = {"orders"}, .version = {"v1"}}) == nullptr);
    BOOST_TEST(cache.find({.route = {"orders"}, .version = {"v3"}}) == nullptr);
}

// Guards against a rollback that is dropped because its coordinator knows the rollout by an offset of the history that
// was replaced.
BOOST_AUTO_TEST_CASE(state_of_an_earlier_history_is_not_dropped) {
    rollout_cache cache;
    BOOST_TEST(cache.merge(update_of(2, 5, {.stage = 2})));
    BOOST_TEST(cache.merge(update_of(1, 9, {.stage = 2, .rolled_back = true})));
    BOOST_TEST(!cache.merge(update_of(1, 9, {.stage = 2, .rolled_back = true})));
    BOOST_REQUIRE(cache.find(row) != nullptr);
    BOOST_TEST((*cache.find(row) == update_of(2, 5, {.stage = 2})));
}

BOOST_AUTO_TEST_SUITE_END()
