#include "goldcrestwell/core/rollout/move_evidence.hpp"

#include <algorithm>
#include <chrono>

namespace goldcrestwell {

namespace {

// Reports of one second arrive up to a second apart; a slice of five keeps most calls of one moment together.
constexpr std::chrono::seconds slice_length{5};
// The recent part starts anew after this many calls, so that a fault that appears late is not diluted.
constexpr std::uint64_t recent_calls = 300;

verdict worse(const verdict left, const verdict right) noexcept {
    return std::max(left, right);
}

} // namespace

void move_evidence::add_candidate(const evidence_window& window, const time_sample now) {
    roll(now);
    open_.candidate.add(window);
    stage_calls_ += window.calls;
}

void move_evidence::add_baseline(const evidence_window& window, const time_sample now) {
    roll(now);
    open_.baseline.add(window);
    history_.add(window);
}

void move_evidence::start_stage(const time_sample now) {
    close_slice();
    opened_ = now.steady;
    recent_ = {};
    stage_calls_ = 0;
}

judgement move_evidence::judge(const sequential_test& test) const {
    const auto failures = worse(test(whole_.failures(open_, history_)), test(recent_.failures(open_, history_)));
    if (failures == verdict::take_back) {
        return {.result = failures, .reason = take_back_reason::failures};
    }
    const auto slow = worse(test(whole_.slow(open_, history_)), test(recent_.slow(open_, history_)));
    if (slow == verdict::take_back) {
        return {.result = slow, .reason = take_back_reason::latency};
    }
    return {.result = worse(failures, slow), .reason = take_back_reason::none};
}

void move_evidence::roll(const time_sample now) {
    if (now.steady - opened_ < slice_length) {
        return;
    }
    close_slice();
    opened_ = now.steady;
    if (recent_.candidate_calls() >= recent_calls) {
        recent_ = {};
    }
}

void move_evidence::close_slice() {
    whole_.add(open_, history_);
    recent_.add(open_, history_);
    open_ = {};
}

} // namespace goldcrestwell
