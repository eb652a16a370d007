#ifndef GOLDCRESTWELL_CORE_ROLLOUT_TRACKED_ROLLOUT_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_TRACKED_ROLLOUT_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/rollout_state.hpp"
#include "goldcrestwell/core/rollout/rollout_evidence.hpp"
#include "goldcrestwell/core/rollout/row_reason.hpp"

#include <chrono>
#include <optional>

namespace goldcrestwell::internal {

/** @brief What one node knows about a move. */
struct tracked_rollout {
    rollout_state state;
    /** @brief Part of the state that the log has recorded. */
    rollout_state recorded;
    /** @brief When this node learned of the present stage. */
    time_sample stage_since{};
    /** @brief Since when every condition of the next stage has held. */
    std::optional<steady_time> ready_since;
    /** @brief Since when the verdict has been to take the version back. */
    std::optional<steady_time> suspect_since;
    /** @brief Since when the verdict has been so against the old version's history, which calls for a recheck. */
    std::optional<steady_time> history_suspect_since;
    /** @brief When this node takes the old version's part away again; set during a recheck. */
    std::optional<steady_time> recheck_until;
    /** @brief This node begins no recheck before. */
    steady_time next_recheck{steady_time::min()};
    /** @brief The last recheck brought too few calls of the old version to judge by. */
    bool recheck_thin{};
    /** @brief Why the stage was not raised at the last decision. */
    row_reason blocked{row_reason::awaiting_proposer};
    rollout_evidence evidence;
    /** @brief Next time at which this node appends the state to the log; unset when nothing is to be appended. */
    std::optional<steady_time> append_at;
    std::chrono::milliseconds append_wait{};
};

} // namespace goldcrestwell::internal

#endif
