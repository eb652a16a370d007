#ifndef GOLDCRESTWELL_CORE_ROLLOUT_SERVICE_ROLLOUT_OPTIONS_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_SERVICE_ROLLOUT_OPTIONS_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/evidence_report.hpp"
#include "goldcrestwell/core/message/rollout_status.hpp"
#include "goldcrestwell/core/message/rollout_update.hpp"
#include "goldcrestwell/core/rollout/canary_schedule.hpp"
#include "goldcrestwell/core/rollout/rollout_tally.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <vector>

namespace goldcrestwell {

/** @brief Settings and hooks of `service_rollouts`; all hooks are required. */
struct service_rollout_options {
    node_id self;
    /** @brief Interval of reports and decisions; a faulty version must have no traffic 5 s after 50 failures. */
    std::chrono::milliseconds tick_interval{200};
    /** @brief Additional delay per rank before a node raises a stage in place of the first coordinator. */
    std::chrono::milliseconds takeover_delay{1'000};
    /** @brief Time reserved before the deadline for the last calls of the baseline and for recording the end. */
    std::chrono::milliseconds deadline_margin{2'500};
    /** @brief Minimum calls of the candidate; with fewer, the canary stage lasts longer. */
    std::uint32_t min_calls{20};
    rollout_tally_limits tally_limits;
    canary_schedule_options canary;

    /** @brief Returns the live nodes; the first by rendezvous rank for a service coordinate its rollout. */
    std::function<std::vector<node_id>()> nodes;
    /** @brief Returns the number of live upstreams of a version. */
    std::function<std::size_t(const service_name&, const upstream_version&)> count_upstreams;
    /** @brief Returns the service of the local upstream of a node; empty if it has none. */
    std::function<service_name(node_id)> service_of;
    std::function<void(const rollout_update&)> broadcast;
    std::function<void(node_id to, const evidence_report&)> send_evidence;
    /** @brief Records the status of a rollout in the store; called repeatedly until `on_recorded` is called. */
    std::function<void(const rollout_status&)> record_status;
};

} // namespace goldcrestwell

#endif
