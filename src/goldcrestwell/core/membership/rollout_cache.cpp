#include "goldcrestwell/core/membership/rollout_cache.hpp"

#include "goldcrestwell/core/common/store_offset.hpp"
#include "goldcrestwell/core/message/join.hpp"

#include <iterator>
#include <limits>

namespace goldcrestwell {

bool rollout_cache::merge(const rollout_update& update) {
    const auto [known, is_new] = states_.try_emplace({update.key.row, era_of(update.key.row_version)}, update);
    if (is_new) {
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
    const auto end = states_.upper_bound({row, store_era{std::numeric_limits<store_era::value_type>::max()}});
    return end == states_.begin() || std::prev(end)->first.first != row ? nullptr : &std::prev(end)->second;
}

std::vector<rollout_update> rollout_cache::states() const {
    std::vector<rollout_update> result;
    result.reserve(states_.size());
    for (const auto& [key, update] : states_) {
        result.push_back(update);
    }
    return result;
}

} // namespace goldcrestwell
