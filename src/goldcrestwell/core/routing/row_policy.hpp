#ifndef GOLDCRESTWELL_CORE_ROUTING_ROW_POLICY_HPP
#define GOLDCRESTWELL_CORE_ROUTING_ROW_POLICY_HPP

#include "goldcrestwell/core/message/row_limits.hpp"

#include <chrono>
#include <cstdint>

namespace goldcrestwell {

/** @brief What a row of the table says about calls to its version. */
struct row_policy {
    row_limits limits;
    /** @brief Calls of any method may be run more than once. */
    bool idempotent{};
    /** @brief Calls of a safe method (GET, HEAD, OPTIONS) may be run more than once whatever `idempotent` says. */
    bool retry_safe_methods{true};
    /** @brief A failing answer to an idempotent call is tried again elsewhere while the retry budget lasts. */
    bool retry_failed_responses{};
    /** @brief Upstreams that may run one call; zero leaves it to the dispatcher's limit on retries. */
    std::uint32_t max_attempts{};
    /** @brief Time within which an answer has its full value; zero if none is stated. */
    std::chrono::milliseconds objective{};
    /** @brief Rank of the route; 0 is the most urgent. */
    std::uint32_t priority{};

    [[nodiscard]] friend bool operator==(const row_policy&, const row_policy&) = default;
};

} // namespace goldcrestwell

#endif
