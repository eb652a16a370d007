#ifndef GOLDCRESTWELL_CORE_MESSAGE_JOIN_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_JOIN_HPP

#include "goldcrestwell/core/message/move_state.hpp"

namespace goldcrestwell {

/** @return Least state that contains both; commutative, associative and idempotent. */
[[nodiscard]] move_state join(const move_state& left, const move_state& right) noexcept;

/** @return True if the state already contains everything that the other says. */
[[nodiscard]] bool covers(const move_state& state, const move_state& other) noexcept;

} // namespace goldcrestwell

#endif
