#include "goldcrestwell/core/message/join.hpp"

#include <algorithm>

namespace goldcrestwell {

rollout_state join(const rollout_state& left, const rollout_state& right) noexcept {
    return {.stage = std::max(left.stage, right.stage),
            .done = left.done || right.done,
            .rolled_back = left.rolled_back || right.rolled_back,
            .reason = std::max(left.reason, right.reason),
            .rechecks = std::max(left.rechecks, right.rechecks)};
}

bool covers(const rollout_state& state, const rollout_state& other) noexcept {
    return join(state, other) == state;
}

} // namespace goldcrestwell
