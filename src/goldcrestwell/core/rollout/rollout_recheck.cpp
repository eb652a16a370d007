#include "goldcrestwell/core/rollout/rollout_engine.hpp"
#include "goldcrestwell/core/rollout/stage.hpp"

#include <cstdint>

namespace goldcrestwell {

namespace {

share reduce_progress(const share progress, const share reduction) noexcept {
    const auto remaining = std::uint64_t{full_share.value()} - reduction.value();
    return share{static_cast<share::value_type>(progress.value() * remaining / full_share.value())};
}

} // namespace

bool rollout_engine::uses_baseline_history(const route_plan& plan, const internal::tracked_rollout& rollout) const {
    if (rollout.state.stage < last_stage || rollout.recheck_lacked_calls || !has_baseline_upstream(plan)) {
        return true;
    }
    return rollout.state.rechecks >= options_.max_rechecks && !rollout.recheck_until;
}

// A recheck only lowers the candidate's share, so nodes that receive it late or twice never exceed the limit of the
// stage.
share rollout_engine::progress(const route_plan& plan, const internal::tracked_rollout& rollout) const {
    const auto permitted_share = permitted_progress(rollout.state);
    if (rollout.state.stage < last_stage || rollout.state.done || !has_baseline_upstream(plan)) {
        return permitted_share;
    }
    return reduce_progress(permitted_share, rollout.recheck_until ? options_.recheck_share : options_.retained_share);
}

void rollout_engine::start_recheck(internal::tracked_rollout& rollout, const time_sample now) const {
    if (options_.max_rechecks == 0) {
        return;
    }
    rollout.recheck_until = now.steady + options_.recheck_duration;
    rollout.evidence.start_recheck(now);
}

void rollout_engine::end_recheck_if_due(internal::tracked_rollout& rollout, const time_sample now) const {
    if (!rollout.recheck_until || now.steady < *rollout.recheck_until) {
        return;
    }
    rollout.recheck_until.reset();
    rollout.evidence.end_recheck(now);
    const auto& calls = rollout.evidence.recheck_slice();
    if (calls.candidate.calls > 0 && calls.baseline.calls < options_.min_recheck_calls) {
        rollout.recheck_lacked_calls = true;
        return;
    }
    // After an unclear result the evidence stays, so that another recheck can follow.
    if (rollout.evidence.judge(options_.test, evidence_scope::concurrent).result == verdict::advance) {
        rollout.evidence.drop_unpaired();
        rollout.history_suspect_since.reset();
        rollout.next_recheck_at = now.steady + options_.recheck_interval;
    }
}

void rollout_engine::request_recheck(const route_plan& plan, const rollout_key& key, const verdict outcome,
                                     const time_sample now) {
    auto& rollout = rollouts_.at(key);
    if (outcome != verdict::roll_back || uses_baseline_history(plan, rollout)) {
        rollout.history_suspect_since.reset();
        return;
    }
    rollout.history_suspect_since = rollout.history_suspect_since.value_or(now.steady);
    if (now.steady - *rollout.history_suspect_since < options_.confirmation_period || rollout.recheck_until ||
        now.steady < rollout.next_recheck_at) {
        return;
    }
    auto next = rollout.state;
    ++next.rechecks;
    merge_and_broadcast(key, next, now);
}

} // namespace goldcrestwell
