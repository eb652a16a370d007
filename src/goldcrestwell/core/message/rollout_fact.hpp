#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_FACT_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_FACT_HPP

#include "goldcrestwell/core/message/move_key.hpp"
#include "goldcrestwell/core/message/move_state.hpp"

namespace goldcrestwell {

/** @brief A move's state as recorded in the log. */
struct rollout_fact {
    move_key key;
    move_state state;

    [[nodiscard]] friend bool operator==(const rollout_fact&, const rollout_fact&) = default;
};

} // namespace goldcrestwell

#endif
