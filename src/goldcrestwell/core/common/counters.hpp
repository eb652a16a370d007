#ifndef GOLDCRESTWELL_CORE_COMMON_COUNTERS_HPP
#define GOLDCRESTWELL_CORE_COMMON_COUNTERS_HPP

#include "goldcrestwell/core/common/drop_reason.hpp"
#include "goldcrestwell/core/common/enum_counters.hpp"
#include "goldcrestwell/core/common/refusal_reason.hpp"
#include "goldcrestwell/core/common/retry_reason.hpp"
#include "goldcrestwell/core/common/skip_reason.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Counters of one node. */
struct counters {
    /** @brief Number of calls received from callers. */
    std::uint64_t calls{};
    /** @brief Number of calls that ended with a response of an upstream. */
    std::uint64_t answered{};
    /** @brief Number of refusals sent to callers, by reason. */
    enum_counters<refusal_reason, refusal_reason_count> refusals;
    /** @brief Number of attempts refused by the ledger, by reason. */
    enum_counters<refusal_reason, refusal_reason_count> attempt_refusals;
    /** @brief Number of retries, by reason. */
    enum_counters<retry_reason, retry_reason_count> retries;
    /** @brief Number of discarded inputs, by reason. */
    enum_counters<drop_reason, drop_reason_count> drops;
    /** @brief Number of records of the operators without effect, by reason. */
    enum_counters<skip_reason, skip_reason_count> record_skips;
    /** @brief Number of answered calls whose log line was left out because of its limit. */
    std::uint64_t omitted_call_lines{};
};

} // namespace goldcrestwell

#endif
