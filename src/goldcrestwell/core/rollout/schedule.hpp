#ifndef GOLDCRESTWELL_CORE_ROLLOUT_SCHEDULE_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_SCHEDULE_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/table_row.hpp"
#include "goldcrestwell/core/rollout/schedule_limits.hpp"

#include <chrono>
#include <cstdint>

namespace goldcrestwell {

/** @return The row's deadline, or the default one after its edit. */
[[nodiscard]] wall_time move_deadline(const table_row& row, const schedule_limits& limits) noexcept;

/**
 * @brief Time at a stage so that the rest of the move ends before the deadline with slack for one repeat.
 * @param entered When the stage was reached.
 */
[[nodiscard]] std::chrono::milliseconds dwell_time(std::uint8_t stage, wall_time entered, wall_time deadline,
                                                   const schedule_limits& limits) noexcept;

/** @return Longest time at a stage that still lets a move without enough calls end by the deadline. */
[[nodiscard]] std::chrono::milliseconds thin_evidence_time(std::uint8_t stage, wall_time entered, wall_time deadline,
                                                           const schedule_limits& limits) noexcept;

/** @return Time after the last stage during which a fault still takes the version back. */
[[nodiscard]] std::chrono::milliseconds bake_time(wall_time entered, wall_time deadline,
                                                  const schedule_limits& limits) noexcept;

} // namespace goldcrestwell

#endif
