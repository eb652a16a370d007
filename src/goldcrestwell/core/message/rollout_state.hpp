#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_STATE_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_STATE_HPP

#include "goldcrestwell/core/message/rollback_reason.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Progress of a rollout; fields only increase, so that states can be merged in any order. */
struct rollout_state {
    /** @brief Stage reached; zero means that the candidate has only its base share. */
    std::uint8_t stage{};
    bool done{};
    bool rolled_back{};
    rollback_reason reason{rollback_reason::none};
    /** @brief Number of rechecks started; each gives a share of the traffic back to the baseline for a fixed time. */
    std::uint8_t rechecks{};

    [[nodiscard]] friend bool operator==(const rollout_state&, const rollout_state&) = default;
};

} // namespace goldcrestwell

#endif
