#include "goldcrestwell/core/rollout/rollout_engine.hpp"
#include "goldcrestwell/core/rollout/route_shares.hpp"
#include "goldcrestwell/core/rollout/schedule.hpp"
#include "goldcrestwell/core/rollout/stage.hpp"

#include <algorithm>

namespace goldcrestwell {

std::vector<row_status> rollout_engine::statuses(const wall_time now) const {
    std::vector<row_status> result;
    for (const auto& [route, plan] : plans_) {
        const auto in_force = shares(route);
        const auto order = unfinished(plan) ? ranking(plan) : std::vector<node_id>{};
        for (const auto& row : plan.rows) {
            const auto own_share = share_of(in_force, row.key.version);
            const bool candidate = is_candidate(plan, row.key.version);
            auto status = candidate ? candidate_status(plan, row, now) : other_status(plan, row, own_share, now);
            status.key = row.key;
            status.row_version = row.row_version;
            status.share = own_share;
            status.proposer = candidate && !order.empty() ? order.front() : node_id{};
            result.push_back(std::move(status));
        }
    }
    return result;
}

row_status rollout_engine::candidate_status(const route_plan& plan, const table_row& row, const wall_time now) const {
    const auto& move = *find(row);
    if (move.state.rolled_back) {
        return {.state = row_state::taken_back, .reason = to_row_reason(move.state.reason)};
    }
    if (move.state.done) {
        return {.state = row_state::done};
    }
    const bool late = now >= move_deadline(row, options_.schedule);
    if (!options_.has_upstream(plan.service, row.key.version)) {
        return {.state = late ? row_state::late : row_state::pending, .reason = row_reason::no_upstream};
    }
    if (move.state.stage < last_stage) {
        return {.state = late ? row_state::late : row_state::moving, .reason = move.blocked};
    }
    // All traffic is on the new version at the deadline, which is what the operator asked for; the watch goes on.
    return {.state = late ? row_state::done : row_state::moving, .reason = move.blocked};
}

row_status rollout_engine::other_status(const route_plan& plan, const table_row& row, const share in_force,
                                        const wall_time now) const {
    const auto target = share_of(plan.target, row.key.version);
    const bool needed = target > share{} || in_force > share{};
    if (needed && !options_.has_upstream(plan.service, row.key.version)) {
        return {.state = row_state::pending, .reason = row_reason::no_upstream};
    }
    bool rolled_back = false;
    bool late = true;
    for (const auto& other : plan.rows) {
        if (is_candidate(plan, other.key.version)) {
            rolled_back = rolled_back || find(other)->state.rolled_back;
            late = late && now >= move_deadline(other, options_.schedule);
        }
    }
    if (in_force <= target || !(rolled_back || unfinished(plan))) {
        return {.state = row_state::done};
    }
    return {.state = late ? row_state::late : row_state::moving,
            .reason = rolled_back ? row_reason::replacement_taken_back : row_reason::replacement_moving};
}

} // namespace goldcrestwell
