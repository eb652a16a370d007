#include "goldcrestwell/core/rollout/rollout_evidence.hpp"

#include <algorithm>
#include <chrono>

namespace goldcrestwell {

namespace {

// Reports for the same second arrive up to a second apart; in slices of five seconds most concurrent calls of both
// versions are in the same slice.
constexpr std::chrono::seconds slice_length{5};
// The recent evidence is cleared after this many calls of the candidate, so that earlier calls do not dilute a late
// fault.
constexpr std::uint64_t max_recent_calls = 300;
// Reports are sent once a second and arrive up to a second apart. A report on the time before a recheck would pair the
// candidate's calls during a fault with the baseline's calls after it.
constexpr std::chrono::seconds settling_time{2};

verdict more_cautious(const verdict left, const verdict right) noexcept {
    return std::max(left, right);
}

} // namespace

void rollout_evidence::add_candidate(const evidence_window& window, const time_sample now) {
    if (now.steady < ignore_reports_until_) {
        return;
    }
    close_slice_if_due(now);
    open_slice_.candidate.add(window);
    stage_calls_ += window.calls;
    if (recheck_active_) {
        recheck_slice_.candidate.add(window);
    }
}

void rollout_evidence::add_baseline(const evidence_window& window, const time_sample now) {
    if (now.steady < ignore_reports_until_) {
        return;
    }
    close_slice_if_due(now);
    open_slice_.baseline.add(window);
    baseline_history_.add(window);
    if (recheck_active_) {
        recheck_slice_.baseline.add(window);
    }
}

void rollout_evidence::start_stage(const time_sample now) {
    close_slice();
    slice_start_ = now.steady;
    recent_ = {};
    stage_calls_ = 0;
}

void rollout_evidence::start_recheck(const time_sample now) {
    start_settling(now);
    recheck_slice_ = {};
    recheck_active_ = true;
}

void rollout_evidence::end_recheck(const time_sample now) {
    start_settling(now);
    recheck_active_ = false;
}

void rollout_evidence::drop_unpaired() noexcept {
    overall_.drop_unpaired();
    recent_.drop_unpaired();
}

judgement rollout_evidence::judge(const sequential_test& test, const evidence_scope scope) const {
    const auto failure_verdict = more_cautious(test(overall_.failures(open_slice_, baseline_history_, scope)),
                                               test(recent_.failures(open_slice_, baseline_history_, scope)));
    if (failure_verdict == verdict::roll_back) {
        return {.result = failure_verdict, .reason = rollback_reason::failures};
    }
    const auto latency_verdict = more_cautious(test(overall_.slow_calls(open_slice_, baseline_history_, scope)),
                                               test(recent_.slow_calls(open_slice_, baseline_history_, scope)));
    if (latency_verdict == verdict::roll_back) {
        return {.result = latency_verdict, .reason = rollback_reason::latency};
    }
    return {.result = more_cautious(failure_verdict, latency_verdict), .reason = rollback_reason::none};
}

void rollout_evidence::close_slice_if_due(const time_sample now) {
    if (now.steady - slice_start_ < slice_length) {
        return;
    }
    close_slice();
    slice_start_ = now.steady;
    if (recent_.candidate_calls() >= max_recent_calls && !recheck_active_) {
        recent_ = {};
    }
}

void rollout_evidence::close_slice() {
    overall_.add(open_slice_, baseline_history_);
    recent_.add(open_slice_, baseline_history_);
    open_slice_ = {};
}

void rollout_evidence::start_settling(const time_sample now) {
    close_slice();
    slice_start_ = now.steady;
    ignore_reports_until_ = now.steady + settling_time;
}

} // namespace goldcrestwell
