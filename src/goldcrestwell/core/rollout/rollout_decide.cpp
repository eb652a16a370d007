#include "goldcrestwell/core/message/join.hpp"
#include "goldcrestwell/core/rollout/rollout_engine.hpp"
#include "goldcrestwell/core/rollout/route_shares.hpp"
#include "goldcrestwell/core/rollout/schedule.hpp"
#include "goldcrestwell/core/rollout/stage.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

// The coordinator and its two successors append; more writers would only add load to the log.
constexpr rollout_engine::size_type max_appenders = 3;
// The coordinator and its first successor receive evidence.
constexpr rollout_engine::size_type evidence_receivers = 2;

} // namespace

void rollout_engine::decide_route(const route_plan& plan, const time_sample now) {
    if (!has_unfinished_rollout(plan)) {
        return;
    }
    const auto ranked = ranked_nodes(plan);
    const auto self_position = std::find(ranked.begin(), ranked.end(), options_.self);
    const auto rank = static_cast<size_type>(self_position - ranked.begin());
    for (const auto& row : plan.rows) {
        if (is_candidate(plan, row.key.version)) {
            decide(plan, row, self_position == ranked.end() ? rollouts_.max_size() : rank, now);
        }
    }
}

void rollout_engine::decide(const route_plan& plan, const table_row& row, const size_type rank, const time_sample now) {
    const rollout_key key{.row = row.key, .row_version = row.row_version};
    auto& rollout = rollouts_.at(key);
    if (rollout.state.done || rollout.state.rolled_back) {
        return;
    }
    end_recheck_if_due(rollout, now);
    const auto outcome = rollout.evidence.judge(options_.test, evidence_scope::all);
    const auto decisive = uses_baseline_history(plan, rollout)
                              ? outcome
                              : rollout.evidence.judge(options_.test, evidence_scope::concurrent);
    if (roll_back_if_faulty(plan, key, decisive, now)) {
        return;
    }
    request_recheck(plan, key, outcome.result, now);
    if (!options_.has_upstream(plan.service, row.key.version)) {
        rollout.blocked_reason = row_reason::no_upstream;
    } else {
        rollout.blocked_reason = blocking_reason(rollout, row, outcome.result, now);
    }
    if (rollout.blocked_reason == row_reason::thin_evidence && rank >= evidence_receivers) {
        rollout.blocked_reason = row_reason::awaiting_proposer;
    }
    if (rank >= rollouts_.max_size() || now.steady < stages_frozen_until_) {
        return;
    }
    advance_if_ready(key, rank, now);
}

bool rollout_engine::roll_back_if_faulty(const route_plan& plan, const rollout_key& key, const judgement& outcome,
                                         const time_sample now) {
    auto& rollout = rollouts_.at(key);
    if (outcome.result != verdict::roll_back) {
        rollout.suspect_since.reset();
        return false;
    }
    rollout.suspect_since = rollout.suspect_since.value_or(now.steady);
    if (now.steady - *rollout.suspect_since < options_.confirmation_period) {
        return false;
    }
    if (!has_baseline_upstream(plan)) {
        rollout.blocked_reason = row_reason::no_old_upstream;
        rollout.ready_since.reset();
        return true;
    }
    merge_and_broadcast(key, {.stage = rollout.state.stage, .rolled_back = true, .reason = outcome.reason}, now);
    return true;
}

void rollout_engine::advance_if_ready(const rollout_key& key, const size_type rank, const time_sample now) {
    auto& rollout = rollouts_.at(key);
    if (rollout.blocked_reason != row_reason::none) {
        rollout.ready_since.reset();
        return;
    }
    rollout.ready_since = rollout.ready_since.value_or(now.steady);
    rollout.blocked_reason = row_reason::awaiting_proposer;
    if (now.steady - *rollout.ready_since < rank * options_.takeover_delay) {
        return;
    }
    auto next = rollout.state;
    if (next.stage < last_stage) {
        ++next.stage;
    } else {
        next.done = true;
    }
    merge_and_broadcast(key, next, now);
}

row_reason rollout_engine::blocking_reason(const internal::tracked_rollout& rollout, const table_row& row,
                                           const verdict outcome, const time_sample now) const {
    const auto stage = rollout.state.stage;
    if (stage == 0) {
        return row_reason::none;
    }
    const auto entered = rollout.stage_since.wall;
    const auto deadline = rollout_deadline(row, options_.schedule);
    const auto elapsed = now.steady - rollout.stage_since.steady;
    if (stage == last_stage && elapsed < bake_time(entered, deadline, options_.schedule)) {
        return row_reason::baking;
    }
    if (stage < last_stage && elapsed < dwell_time(stage, entered, deadline, options_.schedule)) {
        return row_reason::stage_time;
    }
    // At the last stage all traffic has moved, so thin evidence delays the end of the rollout only until the deadline.
    const bool proceed = row.values.on_thin_evidence == thin_evidence_policy::proceed || stage == last_stage;
    const auto thin_evidence_limit = max_thin_evidence_dwell(stage, entered, deadline, options_.schedule);
    if (proceed && elapsed >= thin_evidence_limit) {
        return outcome == verdict::roll_back ? row_reason::undecided : row_reason::none;
    }
    if (outcome != verdict::advance) {
        return row_reason::undecided;
    }
    return rollout.evidence.stage_calls() < options_.min_samples ? row_reason::thin_evidence : row_reason::none;
}

bool rollout_engine::has_baseline_upstream(const route_plan& plan) const {
    return std::any_of(plan.base.begin(), plan.base.end(), [this, &plan](const version_share& entry) {
        return entry.share > share{} && !is_candidate(plan, entry.version) &&
               options_.has_upstream(plan.service, entry.version);
    });
}

void rollout_engine::append_records(const route_plan& plan, const time_sample now) {
    if (!has_unrecorded_state(plan)) {
        return;
    }
    const auto ranked = ranked_nodes(plan);
    const auto rank = static_cast<size_type>(std::find(ranked.begin(), ranked.end(), options_.self) - ranked.begin());
    if (rank >= std::min(ranked.size(), max_appenders)) {
        return;
    }
    for (const auto& row : plan.rows) {
        const rollout_key key{.row = row.key, .row_version = row.row_version};
        auto& rollout = rollouts_.at(key);
        if (!covers(rollout.recorded, rollout.state)) {
            append_state(key, rollout, rank, now);
        }
    }
}

// The log may be down or its response lost, so a state is appended again until a snapshot contains it.
void rollout_engine::append_state(const rollout_key& key, internal::tracked_rollout& rollout, const size_type rank,
                                  const time_sample now) {
    if (!rollout.append_at) {
        rollout.append_delay = options_.min_append_retry_delay;
        rollout.append_at = now.steady + rank * options_.takeover_delay;
    }
    if (now.steady < *rollout.append_at) {
        return;
    }
    options_.append_record({.key = key, .state = rollout.state});
    auto jitter = std::uniform_int_distribution<std::chrono::milliseconds::rep>{0, rollout.append_delay.count() / 2};
    rollout.append_at = now.steady + rollout.append_delay + std::chrono::milliseconds{jitter(random_)};
    rollout.append_delay = std::min(rollout.append_delay * 2, options_.max_append_retry_delay);
}

} // namespace goldcrestwell
