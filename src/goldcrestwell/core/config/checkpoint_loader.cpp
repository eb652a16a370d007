#include "goldcrestwell/core/config/checkpoint_loader.hpp"

#include "goldcrestwell/core/config/state_digest.hpp"
#include "goldcrestwell/core/config/table_draft.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace goldcrestwell::internal {

namespace {

bool is_complete(const std::span<const checkpoint_part> parts) {
    if (parts.empty() || parts.size() != parts.front().count) {
        return false;
    }
    std::vector<bool> seen(parts.size());
    const auto& first = parts.front();
    for (const auto& part : parts) {
        const auto same_checkpoint =
            part.covered_offset == first.covered_offset && part.digest == first.digest && part.count == first.count;
        if (!same_checkpoint || part.index >= part.count || seen[part.index]) {
            return false;
        }
        seen[part.index] = true;
    }
    return true;
}

std::map<route_name, route_state> collect_routes(const std::span<const checkpoint_part> parts) {
    std::map<route_name, route_state> routes;
    for (const auto& part : parts) {
        for (const auto& row : part.rows) {
            routes[row.key.route].rows.push_back(row);
        }
        for (const auto& base : part.bases) {
            routes[base.route].base = base.shares;
        }
        for (const auto& rollout : part.rollout_records) {
            routes[rollout.key.row.route].rollout_records.push_back(rollout);
        }
    }
    return routes;
}

// Parts may arrive in any order, but the digest is computed over sorted rows and rollout records.
void sort_route(const route_name& route, route_state& state) {
    std::sort(state.rows.begin(), state.rows.end(),
              [](const table_row& left, const table_row& right) { return left.key < right.key; });
    std::sort(state.rollout_records.begin(), state.rollout_records.end(),
              [](const rollout_record& left, const rollout_record& right) { return left.key < right.key; });
    state.route = route;
    state.service = state.rows.empty() ? service_name{} : state.rows.front().values.service;
}

verdict_store collect_verdicts(const std::span<const checkpoint_part> parts) {
    std::vector<edit_verdict> verdicts;
    for (const auto& part : parts) {
        verdicts.insert(verdicts.end(), part.verdicts.begin(), part.verdicts.end());
    }
    std::sort(verdicts.begin(), verdicts.end(),
              [](const edit_verdict& left, const edit_verdict& right) { return left.offset < right.offset; });
    verdict_store store;
    for (const auto& verdict : verdicts) {
        store.add(verdict);
    }
    return store;
}

} // namespace

std::optional<loaded_state> checkpoint_loader::load(const std::span<const checkpoint_part> parts) {
    if (!is_complete(parts)) {
        last_reason_ = reducer_reason::checkpoint_incomplete;
        return std::nullopt;
    }
    auto routes = collect_routes(parts);
    table_draft draft{table_snapshot{}, 0};
    for (auto& [route, state] : routes) {
        sort_route(route, state);
        draft.put(std::move(state));
    }
    loaded_state loaded{.covered_offset = parts.front().covered_offset,
                        .snapshot = draft.snapshot(parts.front().covered_offset),
                        .table_digest = draft.digest(),
                        .verdicts = collect_verdicts(parts)};
    const auto digest = digest_of_state(loaded.table_digest + loaded.verdicts.digest(), loaded.covered_offset);
    if (!draft.is_consistent() || digest != parts.front().digest) {
        last_reason_ = reducer_reason::checkpoint_corrupt;
        return std::nullopt;
    }
    return loaded;
}

} // namespace goldcrestwell::internal
