#ifndef GOLDCRESTWELL_CORE_CALL_CALL_DISPATCHER_OPTIONS_HPP
#define GOLDCRESTWELL_CORE_CALL_CALL_DISPATCHER_OPTIONS_HPP

#include "goldcrestwell/core/call/route_view.hpp"
#include "goldcrestwell/core/common/call_id.hpp"
#include "goldcrestwell/core/common/counters.hpp"
#include "goldcrestwell/core/common/incarnation.hpp"
#include "goldcrestwell/core/common/invariant_monitor.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/call_event.hpp"
#include "goldcrestwell/core/message/call_result.hpp"
#include "goldcrestwell/core/message/peer_message.hpp"
#include "goldcrestwell/core/message/row_key.hpp"
#include "goldcrestwell/core/message/version_share.hpp"
#include "goldcrestwell/core/routing/retry_budget.hpp"
#include "goldcrestwell/core/routing/row_terms.hpp"
#include "goldcrestwell/core/routing/upstream_candidate.hpp"
#include "goldcrestwell/core/routing/upstream_selector.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/** @brief Settings and hooks of a `call_dispatcher`; no hook may call back into it. */
struct call_dispatcher_options {
    node_id self;
    incarnation start_incarnation;
    std::uint64_t seed{};
    /** @brief Calls in progress above which new ones are refused with `queue_full`. */
    std::size_t max_calls{20'000};
    /** @brief Deadline of a call that states none. */
    std::chrono::milliseconds default_timeout{30'000};
    /** @brief Longest deadline; below the 120 s for which ledgers keep ids. */
    std::chrono::milliseconds longest_timeout{60'000};
    /** @brief Time without a frame after which a heartbeat is sent. */
    std::chrono::milliseconds heartbeat_after{300};
    /** @brief Time without a frame after which a connection is replaced. */
    std::chrono::milliseconds silent_after{1'000};
    std::uint32_t max_hops{8};
    std::uint32_t max_retries{2};
    /** @brief Further tries of a call after refusals that reached no upstream; these cost no retry budget. */
    std::uint32_t max_redirects{0};
    /** @brief Stated in a refusal of a call that was not run, if nothing better is known; zero states none. */
    std::chrono::milliseconds retry_after{};
    retry_budget_options retries;
    upstream_selector_options selection;

    std::function<std::optional<route_view>(const call_request& call)> find_route;
    std::function<row_terms(const row_key&)> terms;
    std::function<std::vector<version_share>(const route_view&)> shares;
    /** @brief Live candidates, own data centre first; the span stays valid until the event returns. */
    std::function<std::span<const upstream_candidate>(const service_name&, const upstream_version&)> candidates;
    /** @brief Life of a target as this node knows it. */
    std::function<incarnation(node_id)> start_incarnation_of;
    /** @brief A frame that can not be written is reported by a later event, never from inside this hook. */
    std::function<void(node_id to, const peer_message&)> send;
    /** @brief Closes the connection to the peer; the next frame opens a new one. */
    std::function<void(node_id)> replace_connection;
    /** @brief Called exactly once for each call that is not cancelled, possibly before `start` returns. */
    std::function<void(call_id, const call_result&)> reply;
    /** @brief Reports decisions about calls; may be empty. */
    std::function<void(const call_event&)> report;
    counters* counts{};
    invariant_monitor* invariants{};
};

} // namespace goldcrestwell

#endif
