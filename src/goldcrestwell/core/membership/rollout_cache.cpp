#include "goldcrestwell/core/membership/rollout_cache.hpp"

#include "goldcrestwell/core/message/join.hpp"

namespace goldcrestwell {

bool rollout_cache::merge(const rollout_update& update) {
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
    const auto state = join(known->second.state, update.state);
    if (state == known->second.state) {
        return false;
    }
    known->second.state = state;
    return true;
}

const rollout_update* rollout_cache::find(const row_key& row) const {
    const auto known = states_.find(row);
    return known == states_.end() ? nullptr : &known->second;
}

std::vector<rollout_update> rollout_cache::states() const {
    std::vector<rollout_update> result;
    result.reserve(states_.size());
    for (const auto& [row, update] : states_) {
        result.push_back(update);
    }
    return result;
}

} // namespace goldcrestwell
