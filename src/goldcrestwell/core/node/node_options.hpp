#ifndef GOLDCRESTWELL_CORE_NODE_NODE_OPTIONS_HPP
#define GOLDCRESTWELL_CORE_NODE_NODE_OPTIONS_HPP

#include "goldcrestwell/core/common/incarnation.hpp"
#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/config/config_follower_options.hpp"
#include "goldcrestwell/core/membership/membership_timing.hpp"
#include "goldcrestwell/core/node/node_hooks.hpp"
#include "goldcrestwell/core/node/operator_source_options.hpp"
#include "goldcrestwell/core/rollout/schedule_limits.hpp"
#include "goldcrestwell/core/routing/retry_budget.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace goldcrestwell {

/** @brief Limits for calls. */
struct call_options {
    std::chrono::milliseconds default_timeout{10'000};
    std::uint32_t max_hops{8};
    std::uint32_t max_retries{2};
    /** @brief Maximum number of further attempts after attempts that reached no upstream. */
    std::uint32_t max_redirects{0};
    /** @brief Default retry delay stated to a refused caller; zero states none. */
    std::chrono::milliseconds retry_after{};
    /** @brief Minimum retry delay stated to a caller that was refused for lack of capacity; zero states none. */
    std::chrono::milliseconds min_retry_after{};
    /** @brief Time in which the share of a new upstream grows; ends early if the upstream announces that it is warm. */
    std::chrono::milliseconds slow_start{10'000};
    retry_budget_options retries;
};

/** @brief Settings for rollouts. */
struct rollout_options {
    schedule_limits schedule;
    /** @brief Interval of evidence reports and decisions. */
    std::chrono::milliseconds tick{1'000};
    /** @brief Minimum number of calls of the candidate at each stage. */
    std::uint32_t min_samples{20};
};

/** @brief Settings for reading the log. */
struct follower_options {
    std::chrono::milliseconds retention{std::chrono::hours{24}};
    std::chrono::milliseconds long_poll{default_log_long_poll};
};

/** @brief Identity, settings and hooks of a node. */
struct node_options {
    node_id self;
    incarnation start_incarnation;
    goldcrestwell::data_centre data_centre;
    goldcrestwell::region region;
    std::vector<node_id> seeds;
    /** @brief Seed for all random decisions. */
    std::uint64_t seed{1};
    membership_timing membership;
    /** @brief Maximum number of control bytes sent per second. */
    std::size_t control_bytes_per_second{7'000};
    call_options calls;
    rollout_options rollouts;
    follower_options log;
    /** @brief Maximum number of ids of ended attempts; new attempts are refused when it is reached. */
    std::size_t max_attempt_ids{1'000'000};
    /** @brief Maximum size of the stored responses of ended attempts, in bytes. */
    std::size_t max_archived_response_bytes{std::size_t{32} << 20U};
    /** @brief Time without an announcement after which the upstream is removed. */
    std::chrono::milliseconds announcement_expiry{5'000};
    /** @brief Minimum time of a drain, so that the other nodes know that the node leaves. */
    std::chrono::milliseconds min_drain_time{3'000};
    /** @brief Time without calls before a drain can be complete; `drain_refusal_time` limits the wait. */
    std::chrono::milliseconds drain_idle_time{};
    /** @brief Time for which a draining node accepts new work while callers and nodes switch to other nodes. */
    std::chrono::milliseconds drain_refusal_delay{};
    /**
     * @brief Time during which the upstream of a draining node is used, before the node announces that it leaves.
     *
     * The upstream still runs work that arrives until `drain_refusal_delay`.
     */
    std::chrono::milliseconds drain_leave_delay{};
    /**
     * @brief Time from the start of a drain until calls in progress are aborted; zero if that time is not known.
     *
     * Work that may last longer is refused from `drain_switch_time` on, because it may be aborted with unknown outcome.
     */
    std::chrono::milliseconds drain_work_limit{};
    /** @brief Time that callers need to switch to other nodes; until then a draining node accepts all work. */
    std::chrono::milliseconds drain_switch_time{};
    /** @brief Time of refusing work after which a drain is complete even if calls still arrive; zero means no limit. */
    std::chrono::milliseconds drain_refusal_time{};
    /** @brief Time for which a leaving upstream still runs work of nodes that do not know yet that it leaves. */
    std::chrono::milliseconds leave_grace_period{};
    /** @brief Time after the start in which a node is not ready as long as it knows no other upstream. */
    std::chrono::milliseconds max_member_wait{};
    /** @brief Set if the configuration comes from operators' documents instead of the replicated table. */
    std::optional<operator_source_options> operators;
    node_hooks hooks;
};

} // namespace goldcrestwell

#endif
