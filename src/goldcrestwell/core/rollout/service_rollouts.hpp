#ifndef GOLDCRESTWELL_CORE_ROLLOUT_SERVICE_ROLLOUTS_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_SERVICE_ROLLOUTS_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/call_observation.hpp"
#include "goldcrestwell/core/message/rollout_request.hpp"
#include "goldcrestwell/core/message/version_share.hpp"
#include "goldcrestwell/core/rollout/canary_schedule.hpp"
#include "goldcrestwell/core/rollout/evidence_collector.hpp"
#include "goldcrestwell/core/rollout/service_rollout_options.hpp"
#include "goldcrestwell/core/rollout/version_history.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace goldcrestwell {

/**
 * @brief Rolls out new versions of whole services within seconds, and rolls faulty versions back.
 *
 * The state of a rollout only grows, and states merge in any order. The first nodes by rendezvous rank for a service
 * are its coordinators and receive the evidence. Each of them may roll a version back; the first live one raises the
 * stages.
 *
 * After the store has returned from an older copy, a request that is read again by an offset of the later history
 * continues its rollout. Nodes learn of the offset at different times, so states by earlier offsets are merged.
 */
class service_rollouts {
public:
    using size_type = std::size_t;

    explicit service_rollouts(service_rollout_options options);

    /**
     * @param offset Offset of the request in the store; a later request for a service replaces an earlier one.
     * @return False if the request is known and has no effect.
     */
    bool on_request(const rollout_request& request, log_offset offset, time_sample now);
    /** @brief Applies a recorded status that was read from the store. */
    void on_recorded(const rollout_status& status, time_sample now);
    /** @brief Records all statuses again, because the store has returned from an older copy. */
    void on_history_replaced(time_sample now);
    void on_update(const rollout_update& update, time_sample now);
    void on_evidence(const evidence_report& report, time_sample now);
    /** @brief Counts a call to the local upstream. */
    void record(const service_name& service, const call_observation& observation, time_sample now);
    /** @brief Reports a live upstream of a service. */
    void on_upstream(const service_name& service, const upstream_version& version, time_sample now);
    void on_timer(time_sample now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept { return next_tick_; }

    /** @return Shares of the versions of a service; they sum to `full_share`, or are empty for an unknown service. */
    [[nodiscard]] std::vector<version_share> shares(const service_name& service, steady_time now) const;
    /** @return The upstreams that take the calls of a version in its canary stage; empty in other stages. */
    [[nodiscard]] std::optional<canary_group>
    active_canary_group(const service_name& service, const upstream_version& version, steady_time now) const;
    /** @brief Checks whether a version was rolled back. */
    [[nodiscard]] bool is_rolled_back(const service_name& service, const upstream_version& version) const {
        return history_.is_rolled_back(service, version);
    }
    /** @return All states other than the initial one, for anti-entropy. */
    [[nodiscard]] std::vector<rollout_update> rollouts() const;
    /** @brief Checks whether this node is one of those that decide about the rollouts of a service. */
    [[nodiscard]] bool is_coordinator(const service_name& service) const { return own_rank(service).has_value(); }
    /** @brief Checks whether the state of a requested rollout is known neither from peers nor from the store. */
    [[nodiscard]] bool has_unknown_state() const;

private:
    struct service_rollout {
        rollout_request request;
        log_offset offset;
        time_sample received_at{};
        steady_time stage_since{};
        rollout_state state;
        rollout_tally tally{rollout_tally_limits{}};
        /** @brief Time at which the request was first read in a later history than before. */
        std::optional<steady_time> carried_over_at;
        std::optional<rollout_phase> recorded_phase;
        std::optional<steady_time> next_record_at;
    };

    [[nodiscard]] static rollout_key key_of(const service_rollout& rollout);
    [[nodiscard]] bool is_known_state(const service_rollout& rollout, const rollout_key& key) const;
    /** @brief Checks whether a request is the one of a rollout, written again or read from a copy. */
    [[nodiscard]] bool is_repeated(const service_rollout& rollout, const rollout_request& request, log_offset offset,
                                   steady_time now) const;
    void change_offset(service_rollout& rollout, log_offset offset, time_sample now);
    void add_rollout(const rollout_request& request, log_offset offset, time_sample now);
    void merge_early_states(service_rollout& rollout, time_sample now);
    [[nodiscard]] std::optional<size_type> own_rank(const service_name& service) const;
    [[nodiscard]] std::vector<node_id> coordinators(const service_name& service) const;
    void send_reports(time_sample now);
    void decide(service_rollout& rollout, time_sample now);
    void record_phase(service_rollout& rollout, size_type rank, time_sample now);
    [[nodiscard]] bool is_advance_due(const service_rollout& rollout, size_type rank, time_sample now) const;
    void merge_and_broadcast(service_rollout& rollout, const rollout_state& state, time_sample now);
    bool merge(service_rollout& rollout, const rollout_state& state, time_sample now);
    [[nodiscard]] upstream_counts count_upstreams(const service_rollout& rollout) const;
    [[nodiscard]] share progress(const service_rollout& rollout, steady_time now) const;
    void schedule_tick(time_sample now);

    service_rollout_options options_;
    std::map<service_name, service_rollout> rollouts_;
    /** @brief States that arrived before their request was read. */
    std::map<rollout_key, rollout_state> early_states_;
    version_history history_;
    canary_schedule canary_schedule_;
    evidence_collector collector_;
    std::optional<steady_time> next_tick_;
};

} // namespace goldcrestwell

#endif
