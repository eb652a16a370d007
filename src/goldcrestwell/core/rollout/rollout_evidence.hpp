#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_EVIDENCE_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_EVIDENCE_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/evidence_window.hpp"
#include "goldcrestwell/core/message/rollback_reason.hpp"
#include "goldcrestwell/core/rollout/evidence_series.hpp"
#include "goldcrestwell/core/rollout/sequential_test.hpp"

#include <cstdint>
#include <optional>

namespace goldcrestwell {

/** @brief Verdict and the criterion that led to it. */
struct judgement {
    verdict result{verdict::advance};
    rollback_reason reason{rollback_reason::none};
};

/** @brief Evidence that a node has received about one rollout. */
class rollout_evidence {
public:
    void add_candidate(const evidence_window& window, time_sample now);
    void add_baseline(const evidence_window& window, time_sample now);

    /** @brief Clears the recent evidence, so that earlier good calls do not hide a fault that appears at this stage. */
    void start_stage(time_sample now);

    /** @brief Starts a recheck, in which the baseline gets a share of the traffic again. */
    void start_recheck(time_sample now);
    /** @brief Ends a recheck; the candidate has all traffic again. */
    void end_recheck(time_sample now);
    /** @brief Drops evidence without concurrent baseline calls, after a recheck has found no difference. */
    void drop_unpaired() noexcept;

    /** @return The more cautious of the verdicts on all evidence and on the recent evidence. */
    [[nodiscard]] judgement judge(const sequential_test& test, evidence_scope scope) const;

    /** @return Calls of both versions in the current or last recheck. */
    [[nodiscard]] const evidence_slice& recheck_slice() const noexcept { return recheck_slice_; }

    /** @return Number of calls of the candidate since the stage began. */
    [[nodiscard]] std::uint64_t stage_calls() const noexcept { return stage_calls_; }
    [[nodiscard]] bool empty() const noexcept { return stage_calls_ == 0 && baseline_history_.calls == 0; }

private:
    void close_slice_if_due(time_sample now);
    void close_slice();
    /** @brief Starts a slice and ignores reports on calls made under the previous shares. */
    void start_settling(time_sample now);

    evidence_slice open_slice_;
    steady_time slice_start_{};
    evidence_totals baseline_history_;
    evidence_series overall_;
    evidence_series recent_;
    evidence_slice recheck_slice_;
    bool recheck_active_{};
    /** @brief Reports before this time count calls made under the previous shares. */
    steady_time ignore_reports_until_{steady_time::min()};
    std::uint64_t stage_calls_{};
};

} // namespace goldcrestwell

#endif
