#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_STATE_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_STATE_HPP

#include "goldcrestwell/core/message/rollback_reason.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Progress of a move; every field only grows, so that states merge in any order. */
struct rollout_state {
    /** @brief Stage reached; zero means no traffic beyond the base share. */
    std::uint8_t stage{};
    bool done{};
    bool rolled_back{};
    rollback_reason reason{rollback_reason::none};
    /** @brief Rechecks begun; each gives the old versions a part of their traffic back for a fixed time. */
    std::uint8_t rechecks{};

    [[nodiscard]] friend bool operator==(const rollout_state&, const rollout_state&) = default;
};

} // namespace goldcrestwell

#endif
