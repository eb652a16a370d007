#include "goldcrestwell/core/node/rollout_plans.hpp"

namespace goldcrestwell {

rollout_input to_rollout_input(const table_snapshot& snapshot, const log_offset position) {
    rollout_input input{.position = position};
    input.plans.reserve(snapshot.route_count());
    snapshot.for_each_route([&input](const route_state& state) {
        input.plans.push_back({.route = state.route,
                               .service = state.service,
                               .base = state.base,
                               .target = target_shares(state.rows),
                               .rows = state.rows});
        for (const auto& fact : state.facts) {
            input.recorded.push_back({.key = fact.key, .state = fact.state});
        }
    });
    return input;
}

route_table to_route_table(const table_snapshot& snapshot) {
    std::vector<route_entry> entries;
    entries.reserve(snapshot.route_count());
    snapshot.for_each_route(
        [&entries](const route_state& state) { entries.push_back({.route = state.route, .service = state.service}); });
    return route_table{entries};
}

} // namespace goldcrestwell
