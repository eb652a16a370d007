#include "goldcrestwell/core/config/route_change.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestwell::internal {

namespace {

void apply_row(std::vector<table_row>& rows, const row_change& change, const edit_origin& origin) {
    const auto position =
        std::lower_bound(rows.begin(), rows.end(), change.key.version,
                         [](const table_row& row, const upstream_version& key) { return row.key.version < key; });
    const auto exists = position != rows.end() && position->key.version == change.key.version;
    if (!change.values) {
        if (exists) {
            rows.erase(position);
        }
        return;
    }
    table_row row{
        .key = change.key, .row_version = origin.offset, .changed_at = origin.created_at, .values = *change.values};
    if (exists) {
        *position = std::move(row);
    } else {
        rows.insert(position, std::move(row));
    }
}

std::vector<version_share> next_base(const route_state* before, const route_state& after) {
    auto target = target_shares(after.rows);
    // A version of another service cannot be the baseline of a rollout, nor take the traffic after a rollback.
    if (before == nullptr || before->service != after.service) {
        return target;
    }
    return is_rollout_finished(*before) ? target_shares(before->rows) : before->base;
}

// Starts a new rollout for a row that the edit does not name but whose share grows, because another row lost weight.
// Otherwise its last rollout, recorded as done, would let it take the larger share at once.
void restart_rollouts_of_growing_rows(const route_state& before, route_state& after, const edit_origin& origin) {
    const auto old_target = target_shares(before.rows);
    const auto target = target_shares(after.rows);
    for (auto& row : after.rows) {
        const auto share = share_of(target, row.key.version);
        if (share > share_of(old_target, row.key.version) && share > share_of(after.base, row.key.version)) {
            row.row_version = origin.offset;
            row.changed_at = origin.created_at;
        }
    }
}

void keep_current_rollout_records(const route_state& before, route_state& after) {
    for (const auto& rollout : before.rollout_records) {
        const auto* row = find_row(after, rollout.key.row.version);
        if (row != nullptr && row->row_version == rollout.key.row_version) {
            after.rollout_records.push_back(rollout);
        }
    }
}

} // namespace

route_state apply_changes(const route_state* before, const std::span<const row_change* const> changes,
                          const edit_origin& origin) {
    route_state after{.route = changes.front()->key.route,
                      .service = {},
                      .rows = before != nullptr ? before->rows : std::vector<table_row>{},
                      .base = {},
                      .rollout_records = {}};
    for (const auto* change : changes) {
        apply_row(after.rows, *change, origin);
    }
    if (after.rows.empty()) {
        return after;
    }
    after.service = after.rows.front().values.service;
    after.base = next_base(before, after);
    if (before != nullptr) {
        restart_rollouts_of_growing_rows(*before, after, origin);
        keep_current_rollout_records(*before, after);
    }
    return after;
}

bool is_rollout_finished(const route_state& state) {
    const auto target = target_shares(state.rows);
    return std::all_of(target.begin(), target.end(), [&state](const version_share& entry) {
        if (entry.share <= share_of(state.base, entry.version)) {
            return true;
        }
        const auto* rollout = find_rollout_record(state, entry.version);
        return rollout != nullptr && rollout->state.done && !rollout->state.rolled_back;
    });
}

} // namespace goldcrestwell::internal
