#ifndef GOLDCRESTWELL_CORE_MESSAGE_JOIN_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_JOIN_HPP

#include "goldcrestwell/core/message/rollout_state.hpp"

namespace goldcrestwell {

/** @return Least upper bound of two states; the operation is commutative, associative and idempotent. */
[[nodiscard]] rollout_state join(const rollout_state& left, const rollout_state& right) noexcept;

/** @return True if joining the other state would not change the state. */
[[nodiscard]] bool covers(const rollout_state& state, const rollout_state& other) noexcept;

} // namespace goldcrestwell

#endif
