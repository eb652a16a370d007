#ifndef GOLDCRESTWELL_CORE_ROLLOUT_SERVICE_ROLLOUTS_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_SERVICE_ROLLOUTS_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/call_observation.hpp"
#include "goldcrestwell/core/message/rollout_request.hpp"
#include "goldcrestwell/core/message/version_share.hpp"
#include "goldcrestwell/core/rollout/evidence_collector.hpp"
#include "goldcrestwell/core/rollout/service_rollout_options.hpp"
#include "goldcrestwell/core/rollout/trial_schedule.hpp"
#include "goldcrestwell/core/rollout/version_history.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace goldcrestwell {

/**
 * @brief Moves whole services to a new version within seconds, and takes faulty versions back.
 *
 * The state of a move only grows and merges in any order. The first nodes of an order by rendezvous collect the
 * evidence; each of them may take a version back, and the first one that is alive raises the stages.
 */
class service_rollouts {
public:
    using size_type = std::size_t;

    explicit service_rollouts(service_rollout_options options);

    /** @param at Offset of the order in the store; a later order of a service replaces an earlier one. */
    void on_order(const rollout_request& order, log_offset at, time_sample now);
    /** @brief A recorded state was read from the store. */
    void on_recorded(const rollout_status& status, time_sample now);
    void on_update(const rollout_update& update, time_sample now);
    void on_evidence(const evidence_report& report, time_sample now);
    /** @brief Counts a call to the upstream beside this node. */
    void record(const service_name& service, const call_observation& observation, time_sample now);
    /** @brief An upstream of the service is alive. */
    void on_upstream(const service_name& service, const upstream_version& version, time_sample now);
    void on_timer(time_sample now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept { return next_tick_; }

    /** @return Shares of the versions of a service; they sum to `full_share`, or are empty if nothing is known. */
    [[nodiscard]] std::vector<version_share> shares(const service_name& service, steady_time now) const;
    /** @return The upstreams that take the calls of a version on trial; nothing if it is not on trial. */
    [[nodiscard]] std::optional<trial_turn> trial(const service_name& service, const upstream_version& version,
                                                  steady_time now) const;
    /** @return True if a version was taken back. */
    [[nodiscard]] bool withdrawn(const service_name& service, const upstream_version& version) const {
        return history_.withdrawn(service, version);
    }
    /** @return All states beyond the initial one, for anti-entropy. */
    [[nodiscard]] std::vector<rollout_update> rollouts() const;

private:
    struct service_move {
        rollout_request order;
        log_offset at;
        time_sample learned{};
        steady_time stage_since{};
        rollout_state state;
        rollout_tally tally{rollout_tally_limits{}};
        std::optional<rollout_phase> recorded;
        std::optional<steady_time> record_at;
    };

    [[nodiscard]] static rollout_key key_of(const service_move& move);
    [[nodiscard]] std::optional<size_type> rank(const service_name& service) const;
    [[nodiscard]] std::vector<node_id> deciders(const service_name& service) const;
    void send_windows(time_sample now);
    void decide(service_move& move, time_sample now);
    void record_phase(service_move& move, size_type rank, time_sample now);
    [[nodiscard]] bool raise_due(const service_move& move, size_type rank, time_sample now) const;
    void change(service_move& move, const rollout_state& state, time_sample now);
    bool merge(service_move& move, const rollout_state& state, time_sample now);
    [[nodiscard]] trial_population population(const service_move& move) const;
    [[nodiscard]] share progress(const service_move& move, steady_time now) const;
    void arm(time_sample now);

    service_rollout_options options_;
    std::map<service_name, service_move> rollouts_;
    /** @brief States that arrived before their order was read. */
    std::map<rollout_key, rollout_state> early_;
    version_history history_;
    trial_schedule trial_;
    evidence_collector collector_;
    std::optional<steady_time> next_tick_;
};

} // namespace goldcrestwell

#endif
