#ifndef GOLDCRESTWELL_CORE_CALL_ATTEMPT_LEDGER_OPTIONS_HPP
#define GOLDCRESTWELL_CORE_CALL_ATTEMPT_LEDGER_OPTIONS_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/common/counters.hpp"
#include "goldcrestwell/core/common/incarnation.hpp"
#include "goldcrestwell/core/common/invariant_monitor.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/attempt_event.hpp"
#include "goldcrestwell/core/message/call_observation.hpp"
#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/peer_message.hpp"
#include "goldcrestwell/core/message/row_key.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace goldcrestwell {

/** @brief Settings and hooks of an `attempt_ledger`; hooks must not call the ledger. */
struct attempt_ledger_options {
    node_id self;
    incarnation start_incarnation;
    /** @brief Retention of the ids of ended attempts. */
    std::chrono::seconds id_retention{120};
    /** @brief Maximum number of ids; new attempts are refused when it is reached. An id takes about 100 bytes. */
    std::size_t max_ids{1'000'000};
    /** @brief Retention of responses, for dispatchers that query an attempt or repeat its request. */
    std::chrono::seconds response_retention{5};
    /** @brief Maximum size of all stored response bodies in bytes; the oldest responses are evicted first. */
    std::size_t max_response_bytes{std::size_t{32} * 1024 * 1024};
    /** @brief Maximum number of waiting attempts of all rows together. */
    std::size_t max_queue{2'000};
    /** @brief Refuses calls as soon as they are expected to miss their deadline. */
    bool deadline_aware{true};
    /** @brief Minimum `retry_after` of a refusal for lack of capacity; zero leaves `retry_after` out. */
    std::chrono::milliseconds min_retry_after{};
    /** @brief Time after a change of the upstream during which its calls are marked as cold in observations. */
    std::chrono::milliseconds cold_period{10'000};

    std::function<void(node_id to, const peer_message&)> send;
    /** @brief Starts a request; its result must be passed to `on_upstream_result` later, exactly once. */
    std::function<void(const attempt_id&, const call_request&, std::chrono::milliseconds timeout)> start_upstream;
    /** @brief Aborts a running request; its result must still be passed to `on_upstream_result`. */
    std::function<void(const attempt_id&)> abort_upstream;
    std::function<void(const call_observation&)> observe;
    /** @brief Checks whether calls of a row must be refused because the upstream fails them; may be empty. */
    std::function<bool(const row_key&)> is_row_failing;
    /** @brief Returns the version of the configuration in force, for reports; may be empty. */
    std::function<std::uint64_t()> config_version;
    /** @brief Reports the outcome of each attempt; may be empty. */
    std::function<void(const attempt_event&)> report;
    counters* counts{};
    invariant_monitor* invariants{};
};

} // namespace goldcrestwell

#endif
