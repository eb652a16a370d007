#include "goldcrestwell/core/config/table_reducer.hpp"

#include "goldcrestwell/core/config/checkpoint_loader.hpp"
#include "goldcrestwell/core/config/checkpoint_writer.hpp"
#include "goldcrestwell/core/config/state_digest.hpp"
#include "goldcrestwell/core/message/join.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace goldcrestwell {

table_reducer::table_reducer(table_reducer_options options)
    : options_{options}, snapshot_{std::make_shared<const table_snapshot>()} {
    history_.reset(position_, state_sum());
}

std::optional<edit_verdict> table_reducer::apply(const sequenced_record& record) {
    if (record.offset <= position_) {
        last_reason_ = reducer_reason::record_old;
        return std::nullopt;
    }
    std::optional<edit_verdict> verdict;
    if (const auto* edit = std::get_if<table_edit>(&record.record)) {
        verdict = apply_edit(*edit, record.offset);
    } else if (const auto* rollout = std::get_if<rollout_record>(&record.record)) {
        apply_rollout_record(*rollout, record.offset);
    } else if (const auto* part = std::get_if<checkpoint_part>(&record.record)) {
        check_digest(*part, record.offset);
    } else {
        last_reason_ = reducer_reason::record_unreadable;
    }
    set_position(record.offset);
    return verdict;
}

void table_reducer::advance_to(const log_offset through) {
    if (through > position_) {
        set_position(through);
    }
}

bool table_reducer::set_position(const log_offset to) {
    if (!check(invariant_id::version_monotonic, to >= position_)) {
        last_reason_ = reducer_reason::step_refused;
        return false;
    }
    position_ = to;
    return true;
}

std::optional<edit_verdict> table_reducer::apply_edit(const table_edit& edit, const log_offset offset) {
    if (verdicts_.find(edit.id) != nullptr) {
        last_reason_ = reducer_reason::duplicate_edit;
        return std::nullopt;
    }
    auto verdict = decide_edit(edit, offset);
    if (verdict) {
        verdicts_.add(*verdict);
        history_.add(offset, state_sum());
    }
    return verdict;
}

std::optional<edit_verdict> table_reducer::decide_edit(const table_edit& edit, const log_offset offset) {
    internal::table_draft draft{*snapshot_, table_digest_};
    auto defect = internal::find_edit_defect(edit);
    if (!defect.found()) {
        defect = internal::find_stale_row(edit, *snapshot_);
    }
    if (!defect.found()) {
        defect = draft.apply(edit, {.offset = offset, .created_at = edit.created_at});
    }
    last_reason_ = defect.found() ? reducer_reason::edit_rejected : reducer_reason::applied;
    if (!defect.found() && !commit_edit(draft, edit, offset)) {
        return std::nullopt;
    }
    return edit_verdict{.id = edit.id, .offset = offset, .reason = defect.reason, .row = std::move(defect.row)};
}

bool table_reducer::commit_edit(const internal::table_draft& draft, const table_edit& edit, const log_offset offset) {
    const auto next = draft.snapshot(offset);
    if (!check(invariant_id::references_closed, draft.is_consistent()) ||
        !check(invariant_id::apply_atomic, internal::contains_edit(*next, edit, offset))) {
        last_reason_ = reducer_reason::step_refused;
        return false;
    }
    commit(draft, offset);
    return true;
}

void table_reducer::apply_rollout_record(const rollout_record& rollout, const log_offset offset) {
    const auto* state = snapshot_->find(rollout.key.row.route);
    const auto* row = state != nullptr ? find_row(*state, rollout.key.row.version) : nullptr;
    if (row == nullptr || row->row_version != rollout.key.row_version) {
        last_reason_ = reducer_reason::stale_fact;
        return;
    }
    auto next = *state;
    const auto position = std::lower_bound(
        next.rollout_records.begin(), next.rollout_records.end(), rollout.key,
        [](const rollout_record& other, const rollout_key& key) { return other.key.row.version < key.row.version; });
    if (position == next.rollout_records.end() || position->key != rollout.key) {
        next.rollout_records.insert(position, rollout);
    } else {
        position->state = join(position->state, rollout.state);
    }
    if (next == *state) {
        last_reason_ = reducer_reason::fact_known;
        return;
    }
    internal::table_draft draft{*snapshot_, table_digest_};
    draft.put(std::move(next));
    last_reason_ = reducer_reason::step_refused;
    if (check(invariant_id::references_closed, draft.is_consistent())) {
        last_reason_ = reducer_reason::applied;
        commit(draft, offset);
        history_.add(offset, state_sum());
    }
}

void table_reducer::check_digest(const checkpoint_part& part, const log_offset offset) {
    last_reason_ = reducer_reason::checkpoint_seen;
    if (part.index != 0 || part.covered_offset >= offset) {
        return;
    }
    const auto sum = history_.at(part.covered_offset);
    if (sum && internal::digest_of_state(*sum, part.covered_offset) != part.digest) {
        last_reason_ = reducer_reason::digest_diverged;
        ++divergences_;
    }
}

void table_reducer::commit(const internal::table_draft& draft, const log_offset offset) {
    snapshot_ = draft.snapshot(offset);
    table_digest_ = draft.digest();
}

bool table_reducer::restore(const std::span<const checkpoint_part> parts) {
    if (!parts.empty() && parts.front().covered_offset <= position_) {
        last_reason_ = reducer_reason::checkpoint_old;
        return false;
    }
    internal::checkpoint_loader loader;
    auto loaded = loader.load(parts);
    if (!loaded) {
        last_reason_ = loader.last_reason();
        return false;
    }
    if (!set_position(loaded->covered_offset)) {
        return false;
    }
    snapshot_ = std::move(loaded->snapshot);
    table_digest_ = loaded->table_digest;
    verdicts_ = std::move(loaded->verdicts);
    history_.reset(position_, state_sum());
    last_reason_ = reducer_reason::applied;
    return true;
}

std::optional<edit_verdict> table_reducer::verdict(const edit_id& id) const {
    const auto* found = verdicts_.find(id);
    return found != nullptr ? std::optional{*found} : std::nullopt;
}

std::uint64_t table_reducer::digest() const {
    return internal::digest_of_state(state_sum(), position_);
}

std::vector<checkpoint_part> table_reducer::make_checkpoint() const {
    internal::checkpoint_writer writer{options_.max_part_bytes};
    snapshot_->for_each_route([&writer](const route_state& state) { writer.add(state); });
    for (const auto& verdict : verdicts_.verdicts()) {
        writer.add(verdict);
    }
    return std::move(writer).finish(position_, digest());
}

bool table_reducer::check(const invariant_id id, const bool holds) const {
    return options_.invariants != nullptr ? options_.invariants->check(id, holds) : holds;
}

} // namespace goldcrestwell
