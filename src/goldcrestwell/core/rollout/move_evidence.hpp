#ifndef GOLDCRESTWELL_CORE_ROLLOUT_MOVE_EVIDENCE_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_MOVE_EVIDENCE_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/evidence_window.hpp"
#include "goldcrestwell/core/message/take_back_reason.hpp"
#include "goldcrestwell/core/rollout/evidence_series.hpp"
#include "goldcrestwell/core/rollout/sequential_test.hpp"

#include <cstdint>
#include <optional>

namespace goldcrestwell {

/** @brief A verdict and the criterion behind it. */
struct judgement {
    verdict result{verdict::go_on};
    take_back_reason reason{take_back_reason::none};
};

/** @brief Evidence of one move as its proposer has received it. */
class move_evidence {
public:
    void add_candidate(const evidence_window& window, time_sample now);
    void add_baseline(const evidence_window& window, time_sample now);

    /** @brief Starts the recent part anew, so that earlier good calls do not hide a fault that appears now. */
    void start_stage(time_sample now);

    /** @return The more cautious verdict over the whole move and over its recent part. */
    [[nodiscard]] judgement judge(const sequential_test& test) const;

    /** @return Calls of the candidate since the stage began. */
    [[nodiscard]] std::uint64_t stage_calls() const noexcept { return stage_calls_; }
    [[nodiscard]] bool empty() const noexcept { return stage_calls_ == 0 && history_.calls == 0; }

private:
    void roll(time_sample now);
    void close_slice();

    evidence_slice open_;
    steady_time opened_{};
    evidence_totals history_;
    evidence_series whole_;
    evidence_series recent_;
    std::uint64_t stage_calls_{};
};

} // namespace goldcrestwell

#endif
