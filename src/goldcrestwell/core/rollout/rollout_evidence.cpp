#include "goldcrestwell/core/rollout/rollout_evidence.hpp"

#include <algorithm>
#include <chrono>

namespace goldcrestwell {

namespace {

// Reports of one second arrive up to a second apart; a slice of five keeps most calls of one moment together.
constexpr std::chrono::seconds slice_length{5};
// The recent part starts anew after this many calls, so that a fault that appears late is not diluted.
constexpr std::uint64_t recent_calls = 300;
// Reports are sent once a second and arrive up to a second apart. One that tells of the time before a recheck would
// pair the candidate's calls during a fault with the old version's calls after it.
constexpr std::chrono::seconds settling_time{2};

verdict worse(const verdict left, const verdict right) noexcept {
    return std::max(left, right);
}

} // namespace

void rollout_evidence::add_candidate(const evidence_window& window, const time_sample now) {
    if (now.steady < settled_at_) {
        return;
    }
    roll(now);
    open_.candidate.add(window);
    stage_calls_ += window.calls;
    if (rechecking_) {
        recheck_.candidate.add(window);
    }
}

void rollout_evidence::add_baseline(const evidence_window& window, const time_sample now) {
    if (now.steady < settled_at_) {
        return;
    }
    roll(now);
    open_.baseline.add(window);
    history_.add(window);
    if (rechecking_) {
        recheck_.baseline.add(window);
    }
}

void rollout_evidence::start_stage(const time_sample now) {
    close_slice();
    opened_ = now.steady;
    recent_ = {};
    stage_calls_ = 0;
}

void rollout_evidence::start_recheck(const time_sample now) {
    change_shares(now);
    recheck_ = {};
    rechecking_ = true;
}

void rollout_evidence::end_recheck(const time_sample now) {
    change_shares(now);
    rechecking_ = false;
}

void rollout_evidence::drop_unpaired() noexcept {
    whole_.drop_unpaired();
    recent_.drop_unpaired();
}

judgement rollout_evidence::judge(const sequential_test& test, const evidence_scope scope) const {
    const auto failures =
        worse(test(whole_.failures(open_, history_, scope)), test(recent_.failures(open_, history_, scope)));
    if (failures == verdict::take_back) {
        return {.result = failures, .reason = rollback_reason::failures};
    }
    const auto slow = worse(test(whole_.slow(open_, history_, scope)), test(recent_.slow(open_, history_, scope)));
    if (slow == verdict::take_back) {
        return {.result = slow, .reason = rollback_reason::latency};
    }
    return {.result = worse(failures, slow), .reason = rollback_reason::none};
}

void rollout_evidence::roll(const time_sample now) {
    if (now.steady - opened_ < slice_length) {
        return;
    }
    close_slice();
    opened_ = now.steady;
    if (recent_.candidate_calls() >= recent_calls && !rechecking_) {
        recent_ = {};
    }
}

void rollout_evidence::close_slice() {
    whole_.add(open_, history_);
    recent_.add(open_, history_);
    open_ = {};
}

void rollout_evidence::change_shares(const time_sample now) {
    close_slice();
    opened_ = now.steady;
    settled_at_ = now.steady + settling_time;
}

} // namespace goldcrestwell
