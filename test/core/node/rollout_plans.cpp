#include "goldcrestwell/core/node/rollout_plans.hpp"

#include "goldcrestwell/core/config/table_reducer.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>

using namespace goldcrestwell;

namespace {

constexpr std::uint32_t route_count = 12;
constexpr std::uint32_t step_count = 400;

using plan_map = std::map<route_name, route_plan>;

void apply_changes(plan_map& plans, const rollout_changes& changes) {
    for (const auto& route : changes.removed) {
        BOOST_TEST(plans.erase(route) == 1U);
    }
    for (const auto& plan : changes.plans) {
        plans.insert_or_assign(plan.route, plan);
    }
}

bool equal_plans(const route_plan& left, const route_plan& right) {
    return left.route == right.route && left.service == right.service && left.base == right.base &&
           left.target == right.target && left.rows == right.rows;
}

row_change random_change(const table_snapshot& table, std::mt19937_64& random) {
    const auto number = std::to_string(random() % route_count);
    const row_key key{.route = {"/r" + number}, .version = {"v" + std::to_string(random() % 2)}};
    const auto* row = table.find_row(key);
    row_change change{.key = key, .expected = row == nullptr ? log_offset{} : row->row_version};
    if (row == nullptr || random() % 3 != 0) {
        const auto weight = static_cast<std::uint32_t>(1 + random() % 100);
        change.values = row_values{.service = {"s" + number}, .weight = weight};
    }
    return change;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rollout_plans)

// Guards against a change of the table that is not passed to the rollout engine.
BOOST_AUTO_TEST_CASE(applied_changes_equal_the_complete_table) {
    std::mt19937_64 random{1};
    table_reducer reducer{table_reducer_options{}};
    plan_map plans;
    std::size_t removed = 0;
    for (std::uint64_t step = 1; step <= step_count; ++step) {
        const auto before = reducer.snapshot();
        sequenced_record record;
        record.offset = log_offset{step};
        record.record = table_edit{.id = {.high = 1, .low = step}, .changes = {random_change(*before, random)}};
        static_cast<void>(reducer.apply(record));
        const auto after = reducer.snapshot();
        const auto changes = to_rollout_changes(before.get(), *after, reducer.position());
        BOOST_TEST(changes.plans.size() + changes.removed.size() <= 1U);
        removed += changes.removed.size();
        apply_changes(plans, changes);
        plan_map complete;
        apply_changes(complete, to_rollout_changes(nullptr, *after, reducer.position()));
        BOOST_REQUIRE(plans.size() == complete.size());
        for (const auto& [route, plan] : complete) {
            BOOST_TEST(equal_plans(plans.at(route), plan), route.value);
        }
    }
    BOOST_TEST(removed > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
