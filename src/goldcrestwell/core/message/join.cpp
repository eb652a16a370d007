#include "goldcrestwell/core/message/join.hpp"

#include <algorithm>

namespace goldcrestwell {

move_state join(const move_state& left, const move_state& right) noexcept {
    return {.stage = std::max(left.stage, right.stage),
            .done = left.done || right.done,
            .taken_back = left.taken_back || right.taken_back,
            .reason = std::max(left.reason, right.reason),
            .rechecks = std::max(left.rechecks, right.rechecks)};
}

bool covers(const move_state& state, const move_state& other) noexcept {
    return join(state, other) == state;
}

} // namespace goldcrestwell
