#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_MOVE_CACHE_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_MOVE_CACHE_HPP

#include "goldcrestwell/core/message/move_update.hpp"

#include <map>
#include <vector>

namespace goldcrestwell {

/** @brief Merged states of the newest move of each row; tells news from repetitions. */
class move_cache {
public:
    /** @return True if the update changed the merged state. */
    bool merge(const move_update& update);

    /** @return The newest state of a row, or null. */
    [[nodiscard]] const move_update* find(const row_key& row) const;
    [[nodiscard]] std::vector<move_update> states() const;

private:
    std::map<row_key, move_update> states_;
};

} // namespace goldcrestwell

#endif
