#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_ROLLOUT_CACHE_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_ROLLOUT_CACHE_HPP

#include "goldcrestwell/core/common/store_era.hpp"
#include "goldcrestwell/core/message/rollout_update.hpp"

#include <map>
#include <utility>
#include <vector>

namespace goldcrestwell {

/**
 * @brief Merged state of the newest rollout of each row in each history of the store.
 *
 * After the history was replaced, some nodes know a rollout by its offset in the earlier one for a while.
 */
class rollout_cache {
public:
    /** @return True if the update changed a merged state. */
    bool merge(const rollout_update& update);

    /** @brief Returns the merged state for a row in the latest history, or null if there is none. */
    [[nodiscard]] const rollout_update* find(const row_key& row) const;
    [[nodiscard]] std::vector<rollout_update> states() const;

private:
    std::map<std::pair<row_key, store_era>, rollout_update> states_;
};

} // namespace goldcrestwell

#endif
