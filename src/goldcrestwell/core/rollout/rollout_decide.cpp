#include "goldcrestwell/core/message/join.hpp"
#include "goldcrestwell/core/rollout/rollout_engine.hpp"
#include "goldcrestwell/core/rollout/route_shares.hpp"
#include "goldcrestwell/core/rollout/schedule.hpp"
#include "goldcrestwell/core/rollout/stage.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

// The proposer and two successors append; more writers would only load the log.
constexpr rollout_engine::size_type appending_ranks = 3;
// The proposer and its successor get evidence.
constexpr rollout_engine::size_type evidence_ranks = 2;

} // namespace

void rollout_engine::decide_route(const route_plan& plan, const time_sample now) {
    if (!unfinished(plan)) {
        return;
    }
    const auto order = ranking(plan);
    const auto own = std::find(order.begin(), order.end(), options_.self);
    const auto rank = static_cast<size_type>(own - order.begin());
    for (const auto& row : plan.rows) {
        if (is_candidate(plan, row.key.version)) {
            decide(plan, row, own == order.end() ? rollouts_.max_size() : rank, now);
        }
    }
}

void rollout_engine::decide(const route_plan& plan, const table_row& row, const size_type rank, const time_sample now) {
    const rollout_key key{.row = row.key, .row_version = row.row_version};
    auto& move = rollouts_.at(key);
    if (move.state.done || move.state.rolled_back) {
        return;
    }
    end_recheck_when_over(move, now);
    const auto judged = move.evidence.judge(options_.test, evidence_scope::all);
    const auto decisive =
        history_decides(plan, move) ? judged : move.evidence.judge(options_.test, evidence_scope::concurrent);
    if (take_back_if_faulty(plan, key, decisive, now)) {
        return;
    }
    request_recheck(plan, key, judged.result, now);
    if (!options_.has_upstream(plan.service, row.key.version)) {
        move.blocked = row_reason::no_upstream;
    } else {
        move.blocked = blocked(move, row, judged.result, now);
    }
    if (move.blocked == row_reason::thin_evidence && rank >= evidence_ranks) {
        move.blocked = row_reason::awaiting_proposer;
    }
    if (rank >= rollouts_.max_size() || now.steady < settled_at_) {
        return;
    }
    raise_when_ready(key, rank, now);
}

bool rollout_engine::take_back_if_faulty(const route_plan& plan, const rollout_key& key, const judgement& judged,
                                         const time_sample now) {
    auto& move = rollouts_.at(key);
    if (judged.result != verdict::take_back) {
        move.suspect_since.reset();
        return false;
    }
    move.suspect_since = move.suspect_since.value_or(now.steady);
    if (now.steady - *move.suspect_since < options_.confirm_after) {
        return false;
    }
    if (!old_version_alive(plan)) {
        move.blocked = row_reason::no_old_upstream;
        move.ready_since.reset();
        return true;
    }
    change(key, {.stage = move.state.stage, .rolled_back = true, .reason = judged.reason}, now);
    return true;
}

void rollout_engine::raise_when_ready(const rollout_key& key, const size_type rank, const time_sample now) {
    auto& move = rollouts_.at(key);
    if (move.blocked != row_reason::none) {
        move.ready_since.reset();
        return;
    }
    move.ready_since = move.ready_since.value_or(now.steady);
    move.blocked = row_reason::awaiting_proposer;
    if (now.steady - *move.ready_since < rank * options_.takeover_after) {
        return;
    }
    auto next = move.state;
    if (next.stage < last_stage) {
        ++next.stage;
    } else {
        next.done = true;
    }
    change(key, next, now);
}

row_reason rollout_engine::blocked(const internal::tracked_rollout& move, const table_row& row, const verdict judged,
                                   const time_sample now) const {
    const auto stage = move.state.stage;
    if (stage == 0) {
        return row_reason::none;
    }
    const auto entered = move.stage_since.wall;
    const auto deadline = move_deadline(row, options_.schedule);
    const auto elapsed = now.steady - move.stage_since.steady;
    if (stage == last_stage && elapsed < bake_time(entered, deadline, options_.schedule)) {
        return row_reason::baking;
    }
    if (stage < last_stage && elapsed < dwell_time(stage, entered, deadline, options_.schedule)) {
        return row_reason::stage_time;
    }
    // At the last stage the traffic has moved, so thin evidence holds the end of the move only until the deadline.
    const bool proceed = row.values.on_thin_evidence == thin_evidence_policy::proceed || stage == last_stage;
    const auto patience = thin_evidence_time(stage, entered, deadline, options_.schedule);
    if (proceed && elapsed >= patience) {
        return judged == verdict::take_back ? row_reason::undecided : row_reason::none;
    }
    if (judged != verdict::go_on) {
        return row_reason::undecided;
    }
    return move.evidence.stage_calls() < options_.minimum_samples ? row_reason::thin_evidence : row_reason::none;
}

bool rollout_engine::old_version_alive(const route_plan& plan) const {
    return std::any_of(plan.base.begin(), plan.base.end(), [this, &plan](const version_share& entry) {
        return entry.share > share{} && !is_candidate(plan, entry.version) &&
               options_.has_upstream(plan.service, entry.version);
    });
}

void rollout_engine::append_facts(const route_plan& plan, const time_sample now) {
    if (!unrecorded(plan)) {
        return;
    }
    const auto order = ranking(plan);
    const auto rank = static_cast<size_type>(std::find(order.begin(), order.end(), options_.self) - order.begin());
    if (rank >= std::min(order.size(), appending_ranks)) {
        return;
    }
    for (const auto& row : plan.rows) {
        const rollout_key key{.row = row.key, .row_version = row.row_version};
        auto& move = rollouts_.at(key);
        if (!covers(move.recorded, move.state)) {
            append(key, move, rank, now);
        }
    }
}

// The log may be down or its answer lost, so a state is appended until a snapshot contains it.
void rollout_engine::append(const rollout_key& key, internal::tracked_rollout& move, const size_type rank,
                            const time_sample now) {
    if (!move.append_at) {
        move.append_wait = options_.append_retry_min;
        move.append_at = now.steady + rank * options_.takeover_after;
    }
    if (now.steady < *move.append_at) {
        return;
    }
    options_.append_fact({.key = key, .state = move.state});
    auto jitter = std::uniform_int_distribution<std::chrono::milliseconds::rep>{0, move.append_wait.count() / 2};
    move.append_at = now.steady + move.append_wait + std::chrono::milliseconds{jitter(random_)};
    move.append_wait = std::min(move.append_wait * 2, options_.append_retry_max);
}

} // namespace goldcrestwell
