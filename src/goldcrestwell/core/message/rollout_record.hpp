#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_RECORD_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_RECORD_HPP

#include "goldcrestwell/core/message/rollout_key.hpp"
#include "goldcrestwell/core/message/rollout_state.hpp"

namespace goldcrestwell {

/** @brief State of a rollout as written to the log. */
struct rollout_record {
    rollout_key key;
    rollout_state state;

    [[nodiscard]] friend bool operator==(const rollout_record&, const rollout_record&) = default;
};

} // namespace goldcrestwell

#endif
