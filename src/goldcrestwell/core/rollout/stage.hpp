#ifndef GOLDCRESTWELL_CORE_ROLLOUT_STAGE_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_STAGE_HPP

#include "goldcrestwell/core/common/share.hpp"
#include "goldcrestwell/core/message/rollout_state.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Last stage, at which the candidate has its full target share. */
inline constexpr std::uint8_t last_stage = 5;

/** @return Progress from base to target share; 1, 5, 25, 50, 100 % at stages 1 to 5, in parts per million. */
[[nodiscard]] share stage_progress(std::uint8_t stage) noexcept;

/** @return Progress that a state permits: zero for a version that was rolled back. */
[[nodiscard]] share permitted_progress(const rollout_state& state) noexcept;

} // namespace goldcrestwell

#endif
