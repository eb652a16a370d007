#include "goldcrestwell/core/rollout/version_history.hpp"

#include "goldcrestwell/core/common/store_offset.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace goldcrestwell;

namespace {

const service_name orders{"orders"};
const upstream_version version{"v2"};

rollout_update update_of(const log_offset offset, const rollout_state& state) {
    return {.key = {.row = {.route = {orders.value}, .version = version}, .row_version = offset}, .state = state};
}

} // namespace

BOOST_AUTO_TEST_SUITE(versions_of_a_service)

// Guards against results that depend on the order in which a node that has just started receives them.
BOOST_AUTO_TEST_CASE(rollback_before_a_completed_rollout_of_the_version_has_no_effect) {
    std::vector updates{update_of(log_offset{3}, {.rolled_back = true}), update_of(log_offset{9}, {.done = true})};
    for (int order = 0; order < 2; ++order) {
        version_history history{[](const service_name&, const upstream_version&) {
            return std::size_t{4};
        }};
        for (const auto& update : updates) {
            history.on_finished(update);
        }
        BOOST_TEST((history.current_version(orders) == version));
        BOOST_TEST(!history.is_rolled_back(orders, version));
        std::ranges::reverse(updates);
    }
}

// Guards against an end by the offset of one history that is overruled by one of another.
BOOST_AUTO_TEST_CASE(rollback_by_another_offset_of_the_rollout_counts) {
    std::vector updates{update_of(make_store_offset(store_era{1}, 9), {.rolled_back = true}),
                        update_of(make_store_offset(store_era{2}, 5), {.done = true, .rolled_back = true})};
    for (int order = 0; order < 2; ++order) {
        version_history history{[](const service_name&, const upstream_version&) {
            return std::size_t{4};
        }};
        for (const auto& update : updates) {
            history.on_finished(update);
        }
        BOOST_TEST(history.is_rolled_back(orders, version));
        BOOST_TEST((history.finished_rollouts() ==
                    std::vector{update_of(make_store_offset(store_era{2}, 5), {.done = true, .rolled_back = true})}));
        std::ranges::reverse(updates);
    }
}

BOOST_AUTO_TEST_SUITE_END()
