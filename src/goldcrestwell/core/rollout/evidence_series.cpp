#include "goldcrestwell/core/rollout/evidence_series.hpp"

#include <utility>

namespace goldcrestwell {

namespace {

// Limits memory use and the cost of a judgement. Adjacent strata are merged when their number reaches this limit. The
// tests tolerate this because the candidate's fraction of the calls changes only at a stage.
constexpr std::size_t max_strata = 64;

void add_to(stratum& sum, const stratum& other) noexcept {
    sum.candidate_calls += other.candidate_calls;
    sum.candidate_hits += other.candidate_hits;
    sum.baseline_calls += other.baseline_calls;
    sum.baseline_hits += other.baseline_hits;
}

void append(std::vector<stratum>& strata, const stratum& next) {
    strata.push_back(next);
    if (strata.size() < max_strata) {
        return;
    }
    std::vector<stratum> merged;
    for (std::size_t index = 0; index + 1 < strata.size(); index += 2) {
        merged.push_back(strata[index]);
        add_to(merged.back(), strata[index + 1]);
    }
    strata = std::move(merged);
}

stratum failure_stratum(const evidence_totals& candidate, const evidence_totals& baseline) noexcept {
    return {.candidate_calls = candidate.calls,
            .candidate_hits = candidate.failures,
            .baseline_calls = baseline.calls,
            .baseline_hits = baseline.failures};
}

stratum slow_stratum(const evidence_totals& candidate, const evidence_totals& baseline,
                     const std::size_t bucket) noexcept {
    return {.candidate_calls = candidate.measured_calls(),
            .candidate_hits = candidate.slower_than(bucket),
            .baseline_calls = baseline.measured_calls(),
            .baseline_hits = baseline.slower_than(bucket)};
}

} // namespace

void evidence_series::add(const evidence_slice& slice, const evidence_totals& history) {
    if (slice.candidate.calls == 0) {
        return;
    }
    candidate_calls_ += slice.candidate.calls;
    if (slice.baseline.calls == 0) {
        unpaired_.add(slice.candidate);
        return;
    }
    append(failures_, failure_stratum(slice.candidate, slice.baseline));
    append(slow_, slow_stratum(slice.candidate, slice.baseline, history.slow_bucket()));
}

std::vector<stratum> evidence_series::failures(const evidence_slice& open, const evidence_totals& history,
                                               const evidence_scope scope) const {
    auto strata = failures_;
    auto unpaired = unpaired_;
    if (open.baseline.calls == 0) {
        unpaired.add(open.candidate);
    } else {
        strata.push_back(failure_stratum(open.candidate, open.baseline));
    }
    if (scope == evidence_scope::all) {
        strata.push_back(failure_stratum(unpaired, history));
    }
    return strata;
}

std::vector<stratum> evidence_series::slow_calls(const evidence_slice& open, const evidence_totals& history,
                                                 const evidence_scope scope) const {
    const auto bucket = history.slow_bucket();
    auto strata = slow_;
    auto unpaired = unpaired_;
    if (open.baseline.calls == 0) {
        unpaired.add(open.candidate);
    } else {
        strata.push_back(slow_stratum(open.candidate, open.baseline, bucket));
    }
    if (scope == evidence_scope::all) {
        strata.push_back(slow_stratum(unpaired, history, bucket));
    }
    return strata;
}

} // namespace goldcrestwell
