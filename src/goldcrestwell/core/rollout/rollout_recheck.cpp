#include "goldcrestwell/core/rollout/rollout_engine.hpp"
#include "goldcrestwell/core/rollout/stage.hpp"

#include <cstdint>

namespace goldcrestwell {

namespace {

share without(const share progress, const share part) noexcept {
    const auto left = std::uint64_t{full_share.value()} - part.value();
    return share{static_cast<share::value_type>(progress.value() * left / full_share.value())};
}

} // namespace

bool rollout_engine::history_decides(const route_plan& plan, const internal::tracked_rollout& move) const {
    if (move.state.stage < last_stage || move.recheck_thin || !old_version_alive(plan)) {
        return true;
    }
    return move.state.rechecks >= options_.maximum_rechecks && !move.recheck_until;
}

// A recheck only lowers the candidate's share, so nodes that learn of it late or twice stay within the stage's bound.
share rollout_engine::progress(const route_plan& plan, const internal::tracked_rollout& move) const {
    const auto permitted = permitted_progress(move.state);
    if (move.state.stage < last_stage || move.state.done || !old_version_alive(plan)) {
        return permitted;
    }
    return without(permitted, move.recheck_until ? options_.recheck_share : options_.kept_share);
}

void rollout_engine::start_recheck(internal::tracked_rollout& move, const time_sample now) const {
    if (options_.maximum_rechecks == 0) {
        return;
    }
    move.recheck_until = now.steady + options_.recheck_time;
    move.evidence.start_recheck(now);
}

void rollout_engine::end_recheck_when_over(internal::tracked_rollout& move, const time_sample now) const {
    if (!move.recheck_until || now.steady < *move.recheck_until) {
        return;
    }
    move.recheck_until.reset();
    move.evidence.end_recheck(now);
    const auto& calls = move.evidence.recheck();
    if (calls.candidate.calls > 0 && calls.baseline.calls < options_.recheck_samples) {
        move.recheck_thin = true;
        return;
    }
    // An unclear result leaves the suspicion in place, and with it the reason for another recheck.
    if (move.evidence.judge(options_.test, evidence_scope::concurrent).result == verdict::go_on) {
        move.evidence.drop_unpaired();
        move.history_suspect_since.reset();
        move.next_recheck = now.steady + options_.recheck_spacing;
    }
}

void rollout_engine::request_recheck(const route_plan& plan, const rollout_key& key, const verdict judged,
                                     const time_sample now) {
    auto& move = rollouts_.at(key);
    if (judged != verdict::take_back || history_decides(plan, move)) {
        move.history_suspect_since.reset();
        return;
    }
    move.history_suspect_since = move.history_suspect_since.value_or(now.steady);
    if (now.steady - *move.history_suspect_since < options_.confirm_after || move.recheck_until ||
        now.steady < move.next_recheck) {
        return;
    }
    auto next = move.state;
    ++next.rechecks;
    change(key, next, now);
}

} // namespace goldcrestwell
