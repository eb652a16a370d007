#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_INPUT_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_INPUT_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/rollout_update.hpp"
#include "goldcrestwell/core/rollout/route_plan.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Parts of a table snapshot that the rollout engine needs. */
struct rollout_input {
    /** @brief Log position of the snapshot; states of unknown rows up to this position are dropped. */
    log_offset position;
    std::vector<route_plan> plans;
    /** @brief States of rollouts as recorded in the log. */
    std::vector<rollout_update> recorded;
};

} // namespace goldcrestwell

#endif
