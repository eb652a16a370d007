#ifndef GOLDCRESTWELL_CORE_MESSAGE_MOVE_UPDATE_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_MOVE_UPDATE_HPP

#include "goldcrestwell/core/message/move_key.hpp"
#include "goldcrestwell/core/message/move_state.hpp"

namespace goldcrestwell {

/** @brief A move's state as it spreads between nodes. */
struct move_update {
    move_key key;
    move_state state;

    [[nodiscard]] friend bool operator==(const move_update&, const move_update&) = default;
};

} // namespace goldcrestwell

#endif
