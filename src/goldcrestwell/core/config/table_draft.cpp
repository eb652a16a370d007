#include "goldcrestwell/core/config/table_draft.hpp"

#include "goldcrestwell/core/config/config_limits.hpp"
#include "goldcrestwell/core/config/state_digest.hpp"

#include <algorithm>
#include <span>
#include <utility>
#include <vector>

namespace goldcrestwell::internal {

namespace {

std::vector<const row_change*> sorted_by_row(const table_edit& edit) {
    std::vector<const row_change*> changes;
    changes.reserve(edit.changes.size());
    for (const auto& change : edit.changes) {
        changes.push_back(&change);
    }
    std::sort(changes.begin(), changes.end(),
              [](const row_change* left, const row_change* right) { return left->key < right->key; });
    return changes;
}

} // namespace

table_draft::table_draft(const table_snapshot& table, const std::uint64_t table_digest)
    : routes_{table.routes()}, row_count_{table.row_count()}, digest_{table_digest} {}

edit_defect table_draft::apply(const table_edit& edit, const edit_origin& origin) {
    const auto changes = sorted_by_row(edit);
    for (auto first = changes.begin(); first != changes.end();) {
        const auto last = std::find_if(
            first, changes.end(), [first](const row_change* other) { return other->key.route != (*first)->key.route; });
        auto state = apply_changes(routes_.find((*first)->key.route), std::span{first, last}, origin);
        if (!state.rows.empty()) {
            auto defect = find_route_defect(state);
            if (defect.found()) {
                return defect;
            }
        }
        put(std::move(state));
        first = last;
    }
    return row_count_ > max_table_rows ? edit_defect{edit_reason::table_full, changes.front()->key} : edit_defect{};
}

void table_draft::put(route_state state) {
    const auto* before = routes_.find(state.route);
    if (before != nullptr) {
        digest_ -= digest_of(*before);
        row_count_ -= before->rows.size();
    }
    if (state.rows.empty()) {
        routes_ = routes_.without(state.route);
        return;
    }
    consistent_ = consistent_ && has_consistent_references(state);
    digest_ += digest_of(state);
    row_count_ += state.rows.size();
    routes_ = routes_.with(std::make_shared<const route_state>(std::move(state)));
}

std::shared_ptr<const table_snapshot> table_draft::snapshot(const log_offset version) const {
    return std::make_shared<const table_snapshot>(version, routes_, row_count_);
}

bool contains_edit(const table_snapshot& table, const table_edit& edit, const log_offset offset) {
    return std::all_of(edit.changes.begin(), edit.changes.end(), [&table, offset](const row_change& change) {
        const auto* row = table.find_row(change.key);
        if (!change.values) {
            return row == nullptr;
        }
        return row != nullptr && row->row_version == offset && row->values == *change.values;
    });
}

} // namespace goldcrestwell::internal
