#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_CHANGES_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_CHANGES_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/message/rollout_update.hpp"
#include "goldcrestwell/core/rollout/route_plan.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief What a table snapshot changes for the rollout engine against the snapshot before it. */
struct rollout_changes {
    /** @brief Position in the log that the snapshot covers; states of older unknown rows are dropped. */
    log_offset position;
    /** @brief Routes that are new or differ. */
    std::vector<route_plan> plans;
    std::vector<route_name> removed;
    /** @brief States of these routes' moves that the log has recorded. */
    std::vector<rollout_update> recorded;
};

} // namespace goldcrestwell

#endif
