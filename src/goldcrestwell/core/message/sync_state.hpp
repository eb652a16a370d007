#ifndef GOLDCRESTWELL_CORE_MESSAGE_SYNC_STATE_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_SYNC_STATE_HPP

#include "goldcrestwell/core/message/member.hpp"
#include "goldcrestwell/core/message/rollout_update.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Member records and rollout states that differ between two nodes. */
struct sync_state {
    std::vector<member> members;
    std::vector<rollout_update> rollouts;

    [[nodiscard]] friend bool operator==(const sync_state&, const sync_state&) = default;
};

} // namespace goldcrestwell

#endif
