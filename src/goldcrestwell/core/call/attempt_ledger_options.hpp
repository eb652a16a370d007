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
#include <functional>

namespace goldcrestwell {

/** @brief Settings and hooks of an `attempt_ledger`; no hook may call back into it. */
struct attempt_ledger_options {
    node_id self;
    incarnation start_incarnation;
    /** @brief Time for which an ended attempt's id is kept. */
    std::chrono::seconds keep_ids{120};
    /** @brief Ids kept at most; above it new work is refused. An id takes about 100 bytes. */
    std::size_t max_ids{1'000'000};
    /** @brief Time for which an answer is kept for a caller that has to ask for it. */
    std::chrono::seconds keep_answers{5};
    /** @brief Bytes of answer bodies kept at most; the oldest answers go first. */
    std::size_t max_answer_bytes{std::size_t{32} * 1024 * 1024};
    /** @brief Calls waiting at most, if the row sets no limit. */
    std::size_t max_queue{2'000};
    /** @brief Reject calls that can not be finished in time as soon as this is known. */
    bool deadline_aware{true};
    /** @brief Shortest time after which a refused caller is told to come back; zero states no time. */
    std::chrono::milliseconds shortest_retry{};
    /** @brief Time after an upstream's start during which its latency says nothing about its version. */
    std::chrono::milliseconds cold_time{10'000};

    std::function<void(node_id to, const peer_message&)> send;
    /** @brief The result comes later through `on_upstream_result`, exactly once. */
    std::function<void(const attempt_id&, const call_request&, std::chrono::milliseconds timeout)> start_upstream;
    /** @brief Ends a running request early; its result still comes through `on_upstream_result`. */
    std::function<void(const attempt_id&)> abort_upstream;
    std::function<void(const call_observation&)> observe;
    /** @brief True if the upstream fails this row's calls in a row and new ones are to be refused. */
    std::function<bool(const row_key&)> refuses;
    /** @brief Reports what became of each attempt; may be empty. */
    std::function<void(const attempt_event&)> report;
    counters* counts{};
    invariant_monitor* invariants{};
};

} // namespace goldcrestwell

#endif
