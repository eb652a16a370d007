#include "goldcrestwell/core/node/rollout_plans.hpp"

namespace goldcrestwell {

namespace {

void add_route(rollout_changes& changes, const route_state& state) {
    changes.plans.push_back({.route = state.route,
                             .service = state.service,
                             .base = state.base,
                             .target = target_shares(state.rows),
                             .rows = state.rows});
    for (const auto& record : state.rollout_records) {
        changes.recorded.push_back({.key = record.key, .state = record.state});
    }
}

std::vector<const route_state*> routes_of(const table_snapshot& snapshot) {
    std::vector<const route_state*> routes;
    routes.reserve(snapshot.route_count());
    snapshot.for_each_route([&routes](const route_state& state) { routes.push_back(&state); });
    return routes;
}

} // namespace

// Snapshots share the states of unchanged routes, so equal addresses mean equal routes, and rows are not compared or
// copied.
rollout_changes to_rollout_changes(const table_snapshot* before, const table_snapshot& after,
                                   const log_offset position) {
    rollout_changes changes{.position = position};
    const auto old_routes = before == nullptr ? std::vector<const route_state*>{} : routes_of(*before);
    auto old = old_routes.begin();
    for (const auto* state : routes_of(after)) {
        while (old != old_routes.end() && *old != state && (*old)->route < state->route) {
            changes.removed.push_back((*old++)->route);
        }
        const bool same_name = old != old_routes.end() && (*old == state || (*old)->route == state->route);
        const bool unchanged = same_name && *old == state;
        if (same_name) {
            ++old;
        }
        if (!unchanged) {
            add_route(changes, *state);
        }
    }
    for (; old != old_routes.end(); ++old) {
        changes.removed.push_back((*old)->route);
    }
    return changes;
}

route_table to_route_table(const table_snapshot& snapshot) {
    std::vector<route_entry> entries;
    entries.reserve(snapshot.route_count());
    snapshot.for_each_route(
        [&entries](const route_state& state) { entries.push_back({.route = state.route, .service = state.service}); });
    return route_table{entries};
}

} // namespace goldcrestwell
