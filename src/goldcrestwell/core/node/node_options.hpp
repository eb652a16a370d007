#ifndef GOLDCRESTWELL_CORE_NODE_NODE_OPTIONS_HPP
#define GOLDCRESTWELL_CORE_NODE_NODE_OPTIONS_HPP

#include "goldcrestwell/core/common/incarnation.hpp"
#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
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

/** @brief Limits of calls. */
struct call_options {
    std::chrono::milliseconds default_timeout{10'000};
    std::uint32_t max_hops{8};
    std::uint32_t max_retries{2};
    /** @brief Further tries after refusals that reached no upstream. */
    std::uint32_t max_redirects{0};
    /** @brief Time after which a refused caller may come back, if nothing better is known; zero states none. */
    std::chrono::milliseconds retry_after{};
    /** @brief Shortest time after which a caller refused for lack of room may come back; zero states none. */
    std::chrono::milliseconds shortest_retry{};
    /** @brief Time in which a new upstream's part of the calls grows, if it does not say earlier that it is warm. */
    std::chrono::milliseconds slow_start{10'000};
    retry_budget_options retries;
};

/** @brief Settings of moves. */
struct rollout_options {
    schedule_limits schedule;
    /** @brief Interval of evidence reports and of decisions. */
    std::chrono::milliseconds tick{1'000};
    /** @brief Calls of the candidate needed at each stage. */
    std::uint32_t minimum_samples{20};
};

/** @brief Settings of the follower of the log. */
struct follower_options {
    std::chrono::milliseconds retention{std::chrono::hours{24}};
    std::chrono::milliseconds long_poll{20'000};
};

/** @brief Identity, settings and effects of a node. */
struct node_options {
    node_id self;
    incarnation start_incarnation;
    goldcrestwell::data_centre data_centre;
    goldcrestwell::region region;
    std::vector<node_id> seeds;
    /** @brief Seed of every random decision. */
    std::uint64_t seed{1};
    membership_timing membership;
    /** @brief Control bytes that may be sent in a second. */
    std::size_t control_bytes_per_second{7'000};
    call_options calls;
    rollout_options rollouts;
    follower_options log;
    /** @brief Time without an announcement after which the upstream counts as gone. */
    std::chrono::milliseconds announcement_expiry{5'000};
    /** @brief A draining node keeps refusing for this long, so that other nodes learn that it leaves. */
    std::chrono::milliseconds drain_linger{3'000};
    /** @brief A draining node stays, until it takes no more work, while callers have come within this time. */
    std::chrono::milliseconds drain_quiet{};
    /** @brief A draining node takes new work for this long, until callers and nodes have turned away from it. */
    std::chrono::milliseconds drain_notice{};
    /** @brief The upstream of a draining node stays in use for this long, and for `drain_refusal` at least after it. */
    std::chrono::milliseconds drain_leave{};
    /** @brief Time for which a draining node refuses work before it may end although callers still come. */
    std::chrono::milliseconds drain_refusal{};
    /** @brief An upstream that leaves still gets the work that other nodes sent before they knew, for this long. */
    std::chrono::milliseconds leave_grace{};
    /** @brief Time after the start in which a node without any known member does not count as ready. */
    std::chrono::milliseconds lonely_start{};
    /** @brief Set if the configuration comes from operators' documents instead of the node's own table. */
    std::optional<operator_source_options> operators;
    node_hooks hooks;
};

} // namespace goldcrestwell

#endif
