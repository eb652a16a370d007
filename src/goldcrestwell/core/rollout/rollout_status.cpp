#include "goldcrestwell/core/rollout/rollout_engine.hpp"
#include "goldcrestwell/core/rollout/route_shares.hpp"
#include "goldcrestwell/core/rollout/schedule.hpp"
#include "goldcrestwell/core/rollout/stage.hpp"

#include <algorithm>

namespace goldcrestwell {

std::vector<row_status> rollout_engine::statuses(const wall_time now) const {
    std::vector<row_status> result;
    for (const auto& [route, plan] : plans_) {
        const auto shares_in_force = shares(route);
        const auto ranked = has_unfinished_rollout(plan) ? ranked_nodes(plan) : std::vector<node_id>{};
        for (const auto& row : plan.rows) {
            const auto row_share = share_of(shares_in_force, row.key.version);
            const bool row_is_candidate = is_candidate(plan, row.key.version);
            auto status =

                row_is_candidate ? candidate_status(plan, row, now) : non_candidate_status(plan, row, row_share, now);
            status.key = row.key;
            status.row_version = row.row_version;
            status.share = row_share;
            status.coordinator = row_is_candidate && !ranked.empty() ? ranked.front() : node_id{};
            result.push_back(std::move(status));
        }
    }
    return result;
}

row_status rollout_engine::candidate_status(const route_plan& plan, const table_row& row, const wall_time now) const {
    const auto& rollout = *find(row);
    if (rollout.state.rolled_back) {
        return {.state = row_state::taken_back, .reason = to_row_reason(rollout.state.reason)};
    }
    if (rollout.state.done) {
        return {.state = row_state::done};
    }
    const bool late = now >= rollout_deadline(row, options_.schedule);
    if (!options_.has_upstream(plan.service, row.key.version)) {
        return {.state = late ? row_state::late : row_state::pending, .reason = row_reason::no_upstream};
    }
    if (rollout.state.stage < last_stage) {
        return {.state = late ? row_state::late : row_state::moving, .reason = rollout.blocked_reason};
    }
    // The candidate has all traffic at the deadline, as the operator requested; it can still be rolled back.
    return {.state = late ? row_state::done : row_state::moving, .reason = rollout.blocked_reason};
}

row_status rollout_engine::non_candidate_status(const route_plan& plan, const table_row& row,
                                                const share share_in_force, const wall_time now) const {
    const auto target = share_of(plan.target, row.key.version);
    const bool gets_traffic = target > share{} || share_in_force > share{};
    if (gets_traffic && !options_.has_upstream(plan.service, row.key.version)) {
        return {.state = row_state::pending, .reason = row_reason::no_upstream};
    }
    bool any_rolled_back = false;
    bool late = true;
    for (const auto& other : plan.rows) {
        if (is_candidate(plan, other.key.version)) {

            any_rolled_back = any_rolled_back || find(other)->state.rolled_back;
            late = late && now >= rollout_deadline(other, options_.schedule);
        }
    }
    if (share_in_force <= target || !(any_rolled_back || has_unfinished_rollout(plan))) {
        return {.state = row_state::done};
    }
    return {.state = late ? row_state::late : row_state::moving,
            .reason = any_rolled_back ? row_reason::replacement_taken_back : row_reason::replacement_moving};
}

} // namespace goldcrestwell
