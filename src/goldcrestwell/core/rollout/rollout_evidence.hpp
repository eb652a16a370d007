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

/** @brief A verdict and the criterion behind it. */
struct judgement {
    verdict result{verdict::go_on};
    rollback_reason reason{rollback_reason::none};
};

/** @brief Evidence of one move as its proposer has received it. */
class rollout_evidence {
public:
    void add_candidate(const evidence_window& window, time_sample now);
    void add_baseline(const evidence_window& window, time_sample now);

    /** @brief Starts the recent part anew, so that earlier good calls do not hide a fault that appears now. */
    void start_stage(time_sample now);

    /** @brief The old version gets a part of its traffic back. */
    void start_recheck(time_sample now);
    /** @brief The old version loses that part again. */
    void end_recheck(time_sample now);
    /** @brief Drops what only the old version's history contradicts, because a comparison at one time did not. */
    void drop_unpaired() noexcept;

    /** @return The more cautious verdict over the whole move and over its recent part. */
    [[nodiscard]] judgement judge(const sequential_test& test, evidence_scope scope) const;

    /** @return Calls of both versions since the last recheck began. */
    [[nodiscard]] const evidence_slice& recheck() const noexcept { return recheck_; }

    /** @return Calls of the candidate since the stage began. */
    [[nodiscard]] std::uint64_t stage_calls() const noexcept { return stage_calls_; }
    [[nodiscard]] bool empty() const noexcept { return stage_calls_ == 0 && history_.calls == 0; }

private:
    void roll(time_sample now);
    void close_slice();
    /** @brief Starts a slice and ignores reports of calls made under the shares before. */
    void change_shares(time_sample now);

    evidence_slice open_;
    steady_time opened_{};
    evidence_totals history_;
    evidence_series whole_;
    evidence_series recent_;
    evidence_slice recheck_;
    bool rechecking_{};
    /** @brief Until then reports tell of calls under other shares. */
    steady_time settled_at_{steady_time::min()};
    std::uint64_t stage_calls_{};
};

} // namespace goldcrestwell

#endif
