#ifndef GOLDCRESTWELL_CORE_ROLLOUT_SCHEDULE_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_SCHEDULE_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/table_row.hpp"
#include "goldcrestwell/core/rollout/schedule_limits.hpp"

#include <chrono>
#include <cstdint>

namespace goldcrestwell {

/** @return Deadline of the row, or the default duration after its edit. */
[[nodiscard]] wall_time rollout_deadline(const table_row& row, const schedule_limits& limits) noexcept;

/**
 * @brief Returns the time at a stage that lets the rollout end by the deadline, with slack to repeat one stage.
 * @param entered Time at which the stage was reached.
 */
[[nodiscard]] std::chrono::milliseconds dwell_time(std::uint8_t stage, wall_time entered, wall_time deadline,
                                                   const schedule_limits& limits) noexcept;

/** @return Longest time at a stage that lets a rollout with too few calls end by the deadline. */
[[nodiscard]] std::chrono::milliseconds max_thin_evidence_dwell(std::uint8_t stage, wall_time entered,
                                                                wall_time deadline,
                                                                const schedule_limits& limits) noexcept;

/** @return Time at the last stage in which a faulty version is still rolled back. */
[[nodiscard]] std::chrono::milliseconds bake_time(wall_time entered, wall_time deadline,
                                                  const schedule_limits& limits) noexcept;

} // namespace goldcrestwell

#endif
