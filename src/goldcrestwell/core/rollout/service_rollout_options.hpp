#ifndef GOLDCRESTWELL_CORE_ROLLOUT_SERVICE_ROLLOUT_OPTIONS_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_SERVICE_ROLLOUT_OPTIONS_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/evidence_report.hpp"
#include "goldcrestwell/core/message/rollout_status.hpp"
#include "goldcrestwell/core/message/rollout_update.hpp"
#include "goldcrestwell/core/rollout/rollout_tally.hpp"
#include "goldcrestwell/core/rollout/trial_schedule.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <vector>

namespace goldcrestwell {

/** @brief Settings and effects of `service_rollouts`; every hook must be set. */
struct service_rollout_options {
    node_id self;
    /** @brief Interval of evidence reports and of decisions; a faulty version must be gone 5 s after 50 failures. */
    std::chrono::milliseconds tick{200};
    /** @brief Extra wait of each later rank before it raises a stage that is due. */
    std::chrono::milliseconds takeover_after{1'000};
    /** @brief Kept free before the deadline for the last calls of the old version and the record of the end. */
    std::chrono::milliseconds margin{2'500};
    /** @brief Calls of the new version without which the first stage lasts until its longest time. */
    std::uint32_t least_calls{20};
    rollout_tally_limits limits;
    trial_schedule_options trial;

    /** @brief Live nodes; the first ones in the order of a service decide about its rollout. */
    std::function<std::vector<node_id>()> nodes;
    /** @brief Live upstreams of a version. */
    std::function<std::size_t(const service_name&, const upstream_version&)> upstreams;
    /** @brief Service of the upstream beside a node; empty if there is none. */
    std::function<service_name(node_id)> service_of;
    std::function<void(const rollout_update&)> broadcast;
    std::function<void(node_id to, const evidence_report&)> send_evidence;
    /** @brief Records the state of a rollout in the store; repeated until `on_recorded`. */
    std::function<void(const rollout_status&)> record_status;
};

} // namespace goldcrestwell

#endif
