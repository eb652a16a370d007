#ifndef GOLDCRESTWELL_CORE_ROLLOUT_STAGE_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_STAGE_HPP

#include "goldcrestwell/core/common/share.hpp"
#include "goldcrestwell/core/message/rollout_state.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Stage at which all traffic has moved. */
inline constexpr std::uint8_t last_stage = 5;

/** @return Way from base to target at a stage, in parts per million; 1, 5, 25, 50, 100 % for stages 1 to 5. */
[[nodiscard]] share stage_progress(std::uint8_t stage) noexcept;

/** @return Way that a state permits: none for a version that was taken back. */
[[nodiscard]] share permitted_progress(const rollout_state& state) noexcept;

} // namespace goldcrestwell

#endif
