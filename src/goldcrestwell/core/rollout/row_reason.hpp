#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROW_REASON_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROW_REASON_HPP

#include "goldcrestwell/core/message/rollback_reason.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Why a row is in its state; each value tells an operator what would change it. */
enum class row_reason : std::uint8_t {
    none,
    /** @brief No live upstream has announced this version: start one. */
    no_upstream,
    /** @brief The stage's time is not over: wait. */
    stage_time,
    /** @brief Too few calls to judge the version: send traffic or set `on_thin_evidence` to `proceed`. */
    thin_evidence,
    /** @brief The version looks worse than the old one, but not clearly: look at its errors and latency. */
    undecided,
    /** @brief All traffic is moved; a fault can still take the version back. */
    baking,
    /** @brief The stage's time is over here; the row's proposer decides and knows the reason. */
    awaiting_proposer,
    /** @brief The version is faulty, but no older version has an upstream to take the traffic: start one. */
    no_old_upstream,
    /** @brief Taken back because it failed more calls than the old version. */
    failures,
    /** @brief Taken back because it was slower than the old version. */
    latency,
    /** @brief Taken back because it failed several calls in a row. */
    failing_in_a_row,
    /** @brief Taken back by an operator. */
    operator_request,
    /** @brief The row keeps traffic until the versions that replace it have moved. */
    replacement_moving,
    /** @brief The row keeps traffic because a version that replaces it was taken back: edit that row. */
    replacement_taken_back,
};

/** @brief Number of enumerators of `row_reason`. */
inline constexpr std::size_t row_reason_count = 14;

/** @return The name used in the table. */
[[nodiscard]] std::string_view to_string(row_reason value) noexcept;

/** @return The row's reason for a version that was taken back. */
[[nodiscard]] row_reason to_row_reason(rollback_reason value) noexcept;

} // namespace goldcrestwell

#endif
