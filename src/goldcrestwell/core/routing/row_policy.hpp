#ifndef GOLDCRESTWELL_CORE_ROUTING_ROW_POLICY_HPP
#define GOLDCRESTWELL_CORE_ROUTING_ROW_POLICY_HPP

#include "goldcrestwell/core/message/row_limits.hpp"

#include <chrono>
#include <cstdint>

namespace goldcrestwell {

/** @brief Settings of a row for calls to its version. */
struct row_policy {
    row_limits limits;
    /** @brief Whether calls of any method may run more than once. */
    bool idempotent{};
    /** @brief Whether calls of a safe method (GET, HEAD, OPTIONS) may run more than once even if not `idempotent`. */
    bool retry_safe_methods{true};
    /** @brief Whether a failure response to an idempotent call is retried elsewhere within the retry budget. */
    bool retry_failed_responses{};
    /** @brief Maximum number of attempts of a call; zero leaves it to the dispatcher's limit on retries. */
    std::uint32_t max_attempts{};
    /** @brief Latency objective of the route; zero if there is none. */
    std::chrono::milliseconds objective{};
    /** @brief Priority of the route; 0 is the most urgent. */
    std::uint32_t priority{};

    [[nodiscard]] friend bool operator==(const row_policy&, const row_policy&) = default;
};

} // namespace goldcrestwell

#endif
