#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_ENGINE_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROLLOUT_ENGINE_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/call_observation.hpp"
#include "goldcrestwell/core/message/evidence_report.hpp"
#include "goldcrestwell/core/message/rollout_update.hpp"
#include "goldcrestwell/core/message/version_share.hpp"
#include "goldcrestwell/core/rollout/evidence_collector.hpp"
#include "goldcrestwell/core/rollout/rollout_changes.hpp"
#include "goldcrestwell/core/rollout/rollout_engine_options.hpp"
#include "goldcrestwell/core/rollout/rollout_input.hpp"
#include "goldcrestwell/core/rollout/row_status.hpp"
#include "goldcrestwell/core/rollout/tracked_rollout.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace goldcrestwell {

/** @brief Replica of the rollout states on one node; advances rollouts and rolls faulty versions back. */
class rollout_engine {
public:
    using size_type = std::size_t;

    explicit rollout_engine(rollout_engine_options options);

    /** @brief Applies a new table snapshot. */
    void on_snapshot(const rollout_input& input, time_sample now);
    /** @brief Applies a new table snapshot given as its differences from the previous one. */
    void on_changes(const rollout_changes& changes, time_sample now);
    /** @brief Merges a state from another node and broadcasts it again if it changed the state on this node. */
    void on_update(const rollout_update& update, time_sample now);
    void on_evidence(const evidence_report& report, time_sample now);
    /** @brief Counts a call to the local upstream of this node. */
    void record(const call_observation& observation, time_sample now);
    void on_timer(time_sample now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept { return next_tick_; }

    /** @return Shares in force on this node; they sum to `full_share` or are empty for an unknown route. */
    [[nodiscard]] std::vector<version_share> shares(const route_name& route) const;
    /** @return All states other than the initial one, for anti-entropy. */
    [[nodiscard]] std::vector<rollout_update> rollouts() const;
    /** @return Status of every row. */
    [[nodiscard]] std::vector<row_status> statuses(wall_time now) const;
    /** @return True if the node must refuse a call to its local upstream because of consecutive failures. */
    [[nodiscard]] bool must_refuse_call(const row_key& row, time_sample now);

private:
    using rollout_map = std::map<rollout_key, internal::tracked_rollout>;

    [[nodiscard]] const internal::tracked_rollout* find(const table_row& row) const;
    [[nodiscard]] const route_plan* find_plan(const route_name& route) const;
    [[nodiscard]] bool is_in_table(const rollout_key& key) const;
    [[nodiscard]] bool has_unfinished_rollout(const route_plan& plan) const;
    /** @return True if the state of a row is not fully recorded in the log. */
    [[nodiscard]] bool has_unrecorded_state(const route_plan& plan) const;
    [[nodiscard]] std::vector<node_id> ranked_nodes(const route_plan& plan) const;
    [[nodiscard]] bool has_baseline_upstream(const route_plan& plan) const;
    [[nodiscard]] bool is_within_stage_limits(const route_plan& plan, const std::vector<version_share>& shares) const;

    [[nodiscard]] row_status candidate_status(const route_plan& plan, const table_row& row, wall_time now) const;
    [[nodiscard]] row_status non_candidate_status(const route_plan& plan, const table_row& row, share share_in_force,
                                                  wall_time now) const;
    [[nodiscard]] row_reason blocking_reason(const internal::tracked_rollout& rollout, const table_row& row,
                                             verdict outcome, time_sample now) const;

    bool merge(const rollout_key& key, const rollout_state& state, time_sample now);
    void merge_and_broadcast(const rollout_key& key, const rollout_state& state, time_sample now);
    void send_reports(time_sample now);
    void decide_route(const route_plan& plan, time_sample now);
    void decide(const route_plan& plan, const table_row& row, size_type rank, time_sample now);
    /** @return True if the version was rolled back, or is faulty without a live baseline upstream. */
    bool roll_back_if_faulty(const route_plan& plan, const rollout_key& key, const judgement& outcome, time_sample now);
    /** @return True if a comparison with the baseline's history suffices, false if a recheck must confirm it. */
    [[nodiscard]] bool uses_baseline_history(const route_plan& plan, const internal::tracked_rollout& rollout) const;
    [[nodiscard]] share progress(const route_plan& plan, const internal::tracked_rollout& rollout) const;
    void start_recheck(internal::tracked_rollout& rollout, time_sample now) const;
    void end_recheck_if_due(internal::tracked_rollout& rollout, time_sample now) const;
    /** @brief Starts a recheck on all nodes if the candidate looks faulty compared with the baseline's history. */
    void request_recheck(const route_plan& plan, const rollout_key& key, verdict outcome, time_sample now);
    void advance_if_ready(const rollout_key& key, size_type rank, time_sample now);
    void append_records(const route_plan& plan, time_sample now);
    void append_state(const rollout_key& key, internal::tracked_rollout& rollout, size_type rank, time_sample now);
    void replace_plan(const route_plan& plan, time_sample now);
    /** @brief Drops the states of rows of a route that are not in the table. */
    void drop_stale_states(const route_name& route);
    void drop_stale_early_states();
    [[nodiscard]] bool is_stale(const rollout_key& key) const;
    void update_active_route(const route_name& route);
    void schedule_tick(time_sample now);

    rollout_engine_options options_;
    std::mt19937_64 random_;
    std::map<route_name, route_plan> plans_;
    /** @brief Routes with a rollout in progress or a state to record; a tick visits only these. */
    std::set<route_name> active_routes_;
    /** @brief Keys of states that arrived before the table had their rows. */
    std::set<rollout_key> early_keys_;
    rollout_map rollouts_;
    log_offset position_;
    evidence_collector collector_;
    std::optional<steady_time> next_tick_;
    /** @brief No stage is raised before this time, because the process was paused and may have missed updates. */
    steady_time stages_frozen_until_{steady_time::min()};
};

} // namespace goldcrestwell

#endif
