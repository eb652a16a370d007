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
#include "goldcrestwell/core/routing/row_policy.hpp"
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

/** @brief Settings and hooks of a `call_dispatcher`; hooks must not call the dispatcher. */
struct call_dispatcher_options {
    node_id self;
    incarnation start_incarnation;
    std::uint64_t seed{};
    /** @brief Maximum number of calls in progress; further ones are refused with `queue_full`. */
    std::size_t max_calls{20'000};
    /** @brief Timeout of calls that state none. */
    std::chrono::milliseconds default_timeout{30'000};
    /** @brief Maximum timeout; must be shorter than the 120 s for which ledgers keep ids. */
    std::chrono::milliseconds max_timeout{60'000};
    /** @brief Time without a frame from a peer after which a heartbeat is sent. */
    std::chrono::milliseconds heartbeat_interval{300};
    /** @brief Time without a frame from a peer after which its connection is replaced. */
    std::chrono::milliseconds silence_timeout{1'000};
    std::uint32_t max_hops{8};
    std::uint32_t max_retries{2};
    /** @brief Maximum number of retries after attempts that reached no upstream; they use no retry budget. */
    std::uint32_t max_redirects{0};
    /** @brief Default `retry_after` of refusals of calls that did not run; zero leaves it out. */
    std::chrono::milliseconds retry_after{};
    retry_budget_options retries;
    upstream_selector_options selection;

    std::function<std::optional<route_view>(const call_request& call)> find_route;
    /** @brief Returns the version of the configuration that `find_route` uses, for reports; may be empty. */
    std::function<std::uint64_t()> config_version;
    std::function<row_policy(const row_key&)> find_policy;
    std::function<std::vector<version_share>(const route_view&)> shares;
    /** @brief Returns the live candidates, local ones first; the span is valid until the current event is handled. */
    std::function<std::span<const upstream_candidate>(const service_name&, const upstream_version&)> candidates;
    /** @brief Returns the start incarnation of a node as known to this node. */
    std::function<incarnation(node_id)> start_incarnation_of;
    /** @brief Sends a frame; a failure to write it is reported by a later event, never from inside this hook. */
    std::function<void(node_id to, const peer_message&)> send;
    /** @brief Closes the connection to a peer; the next frame opens a new one. */
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
