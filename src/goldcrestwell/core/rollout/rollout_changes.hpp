#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_CHANGES_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_CHANGES_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/message/rollout_update.hpp"
#include "goldcrestwell/core/rollout/route_plan.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Differences between a table snapshot and the previous one, as far as the rollout engine needs them. */
struct rollout_changes {
    /** @brief Log position of the snapshot; states of unknown rows up to this position are dropped. */
    log_offset position;
    /** @brief Routes that are new or have changed. */
    std::vector<route_plan> plans;
    std::vector<route_name> removed;
    /** @brief Recorded states of the rollouts of these routes. */
    std::vector<rollout_update> recorded;
};

} // namespace goldcrestwell

#endif
