#ifndef GOLDCRESTWELL_CORE_ROLLOUT_TRACKED_ROLLOUT_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_TRACKED_ROLLOUT_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/rollout_state.hpp"
#include "goldcrestwell/core/rollout/rollout_evidence.hpp"
#include "goldcrestwell/core/rollout/row_reason.hpp"

#include <chrono>
#include <optional>

namespace goldcrestwell::internal {

/** @brief State of a rollout on one node. */
struct tracked_rollout {
    rollout_state state;
    /** @brief State recorded in the log. */
    rollout_state recorded;
    /** @brief Time at which this node received the current stage. */
    time_sample stage_since{};
    /** @brief Time since which all conditions of the next stage have held. */
    std::optional<steady_time> ready_since;
    /** @brief Time since which the verdict has been to roll back. */
    std::optional<steady_time> suspect_since;
    /** @brief Time since which the verdict against the baseline's history has been to roll back; leads to a recheck. */
    std::optional<steady_time> history_suspect_since;
    /** @brief End of the recheck on this node; set during a recheck only. */
    std::optional<steady_time> recheck_until;
    /** @brief Earliest time at which this node requests another recheck. */
    steady_time next_recheck_at{steady_time::min()};
    /** @brief True if the baseline got too few calls in the last recheck for a comparison. */
    bool recheck_lacked_calls{};
    /** @brief Reason for which the last decision did not raise the stage. */
    row_reason blocked_reason{row_reason::awaiting_proposer};
    rollout_evidence evidence;
    /** @brief Time of the next append of the state to the log; empty if none is scheduled. */
    std::optional<steady_time> append_at;
    std::chrono::milliseconds append_delay{};
};

} // namespace goldcrestwell::internal

#endif
