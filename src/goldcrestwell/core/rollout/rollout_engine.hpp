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

/** @brief Replica of the moves' states on one node; raises stages and takes faulty versions back. */
class rollout_engine {
public:
    using size_type = std::size_t;

    explicit rollout_engine(rollout_engine_options options);

    /** @brief A new table snapshot is in force. */
    void on_plans(const rollout_input& input, time_sample now);
    /** @brief Like `on_plans`, for a snapshot given by its differences from the one before it. */
    void on_changes(const rollout_changes& changes, time_sample now);
    /** @brief A state arrived from another node; a state that brings news is broadcast again. */
    void on_update(const rollout_update& update, time_sample now);
    void on_evidence(const evidence_report& report, time_sample now);
    /** @brief Counts a call; called by the node beside the upstream. */
    void record(const call_observation& observation, time_sample now);
    void on_timer(time_sample now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept { return next_tick_; }

    /** @return Shares in force on this node; they sum to `full_share` or are empty for an unknown route. */
    [[nodiscard]] std::vector<version_share> shares(const route_name& route) const;
    /** @return All states beyond the initial one, for anti-entropy. */
    [[nodiscard]] std::vector<rollout_update> rollouts() const;
    /** @return State, share and reason of every row. */
    [[nodiscard]] std::vector<row_status> statuses(wall_time now) const;
    /** @return True if the node must refuse a call because the candidate beside it fails call after call. */
    [[nodiscard]] bool refuses(const row_key& row, time_sample now);

private:
    using rollout_map = std::map<rollout_key, internal::tracked_rollout>;

    [[nodiscard]] const internal::tracked_rollout* find(const table_row& row) const;
    [[nodiscard]] const route_plan* find_plan(const route_name& route) const;
    [[nodiscard]] bool in_table(const rollout_key& key) const;
    [[nodiscard]] bool unfinished(const route_plan& plan) const;
    /** @return True if a row's state goes beyond what the log has recorded. */
    [[nodiscard]] bool unrecorded(const route_plan& plan) const;
    [[nodiscard]] std::vector<node_id> ranking(const route_plan& plan) const;
    [[nodiscard]] bool old_version_alive(const route_plan& plan) const;
    [[nodiscard]] bool bounded(const route_plan& plan, const std::vector<version_share>& shares) const;

    [[nodiscard]] row_status candidate_status(const route_plan& plan, const table_row& row, wall_time now) const;
    [[nodiscard]] row_status other_status(const route_plan& plan, const table_row& row, share in_force,
                                          wall_time now) const;
    [[nodiscard]] row_reason blocked(const internal::tracked_rollout& move, const table_row& row, verdict judged,
                                     time_sample now) const;

    bool merge(const rollout_key& key, const rollout_state& state, time_sample now);
    void change(const rollout_key& key, const rollout_state& state, time_sample now);
    void send_windows(time_sample now);
    void decide_route(const route_plan& plan, time_sample now);
    void decide(const route_plan& plan, const table_row& row, size_type rank, time_sample now);
    /** @return True if the version was taken back, or would be if an old version were alive. */
    bool take_back_if_faulty(const route_plan& plan, const rollout_key& key, const judgement& judged, time_sample now);
    /** @return True if the old version's history may decide, false if a recheck must confirm it. */
    [[nodiscard]] bool history_decides(const route_plan& plan, const internal::tracked_rollout& move) const;
    [[nodiscard]] share progress(const route_plan& plan, const internal::tracked_rollout& move) const;
    void start_recheck(internal::tracked_rollout& move, time_sample now) const;
    void end_recheck_when_over(internal::tracked_rollout& move, time_sample now) const;
    /** @brief Begins a recheck everywhere if the candidate looks faulty against the old version's history. */
    void request_recheck(const route_plan& plan, const rollout_key& key, verdict judged, time_sample now);
    void raise_when_ready(const rollout_key& key, size_type rank, time_sample now);
    void append_facts(const route_plan& plan, time_sample now);
    void append(const rollout_key& key, internal::tracked_rollout& move, size_type rank, time_sample now);
    void replace_plan(const route_plan& plan, time_sample now);
    /** @brief Drops states of a route's rows that the table does not have. */
    void drop_outdated(const route_name& route);
    void drop_outdated_early();
    [[nodiscard]] bool outdated(const rollout_key& key) const;
    void refresh_active(const route_name& route);
    void arm(time_sample now);

    rollout_engine_options options_;
    std::mt19937_64 random_;
    std::map<route_name, route_plan> plans_;
    /** @brief Routes with a move in progress or a state to record; ticks visit these only. */
    std::set<route_name> active_;
    /** @brief States that arrived before the table had their rows. */
    std::set<rollout_key> early_;
    rollout_map rollouts_;
    log_offset position_;
    evidence_collector collector_;
    std::optional<steady_time> next_tick_;
    /** @brief Until then no stage is raised, because the process was paused and may have missed news. */
    steady_time settled_at_{steady_time::min()};
};

} // namespace goldcrestwell

#endif
