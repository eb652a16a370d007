#include "goldcrestwell/core/membership/move_cache.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

move_state joined(const move_state& left, const move_state& right) {
    return {.stage = std::max(left.stage, right.stage),
            .done = left.done || right.done,
            .taken_back = left.taken_back || right.taken_back,
            .reason = std::max(left.reason, right.reason)};
}

} // namespace

bool move_cache::merge(const move_update& update) {
    const auto known = states_.find(update.key.row);
    if (known == states_.end()) {
        states_.emplace(update.key.row, update);
        return true;
    }
    if (update.key.row_version < known->second.key.row_version) {
        return false;
    }
    if (update.key.row_version > known->second.key.row_version) {
        known->second = update;
        return true;
    }
    const auto state = joined(known->second.state, update.state);
    if (state == known->second.state) {
        return false;
    }
    known->second.state = state;
    return true;
}

const move_update* move_cache::find(const row_key& row) const {
    const auto known = states_.find(row);
    return known == states_.end() ? nullptr : &known->second;
}

std::vector<move_update> move_cache::states() const {
    std::vector<move_update> result;
    result.reserve(states_.size());
    for (const auto& [row, update] : states_) {
        result.push_back(update);
    }
    return result;
}

} // namespace goldcrestwell
