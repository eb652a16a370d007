#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_UPDATE_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_UPDATE_HPP

#include "goldcrestwell/core/message/rollout_key.hpp"
#include "goldcrestwell/core/message/rollout_state.hpp"

namespace goldcrestwell {

/** @brief State of a rollout as gossiped between nodes. */
struct rollout_update {
    rollout_key key;
    rollout_state state;

    [[nodiscard]] friend bool operator==(const rollout_update&, const rollout_update&) = default;
};

} // namespace goldcrestwell

#endif
