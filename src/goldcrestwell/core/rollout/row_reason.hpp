#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROW_REASON_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROW_REASON_HPP

#include "goldcrestwell/core/message/rollback_reason.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Reason for the state of a row and what would change it. */
enum class row_reason : std::uint8_t {
    none,
    /** @brief No live upstream has announced this version: start one. */
    no_upstream,
    /** @brief The dwell time of the stage is not over: wait. */
    stage_time,
    /** @brief Too few calls to judge the version: send traffic or set `on_thin_evidence` to `proceed`. */
    thin_evidence,
    /** @brief The candidate looks worse than the baseline, but not significantly: check its errors and latency. */
    undecided,
    /** @brief The candidate has all traffic; it is still rolled back if a fault appears. */
    baking,
    /** @brief The dwell time is over; the coordinator of the row decides, and its status has the reason. */
    awaiting_proposer,
    /** @brief The candidate is faulty, but no baseline version has a live upstream to take its traffic: start one. */
    no_old_upstream,
    /** @brief Rolled back because it failed more calls than the baseline. */
    failures,
    /** @brief Rolled back because it was slower than the baseline. */
    latency,
    /** @brief Rolled back because of consecutive failures. */
    failing_in_a_row,
    /** @brief Rolled back by an operator. */
    operator_request,
    /** @brief The row keeps traffic until the rollouts of the versions that replace it are complete. */
    replacement_moving,
    /** @brief The row keeps traffic because a version that replaces it was rolled back: edit the other row. */
    replacement_taken_back,
};

/** @brief Number of enumerators of `row_reason`. */
inline constexpr std::size_t row_reason_count = 14;

/** @return The name used in the table. */
[[nodiscard]] std::string_view to_string(row_reason value) noexcept;

/** @return Reason of the row of a version that was rolled back. */
[[nodiscard]] row_reason to_row_reason(rollback_reason value) noexcept;

} // namespace goldcrestwell

#endif
