#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_MOVE_CACHE_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_MOVE_CACHE_HPP

#include "goldcrestwell/core/message/move_update.hpp"

#include <map>
#include <vector>

namespace goldcrestwell {

/** @brief Merged state of the newest rollout of each row. */
class move_cache {
public:
    /** @return True if the update changed a merged state. */
    bool merge(const move_update& update);

    /** @brief Returns the merged state for a row, or null if there is none. */
    [[nodiscard]] const move_update* find(const row_key& row) const;
    [[nodiscard]] std::vector<move_update> states() const;

private:
    std::map<row_key, move_update> states_;
};

} // namespace goldcrestwell

#endif
