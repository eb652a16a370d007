#ifndef GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_REQUEST_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_REQUEST_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/row_limits.hpp"

#include <chrono>
#include <cstdint>

namespace goldcrestwell {

/** @brief Asks the node beside an upstream to run a call. */
struct attempt_request {
    attempt_id id;
    /** @brief Life of the receiving node as the sender knew it. */
    incarnation target_incarnation;
    route_name route;
    service_name service;
    upstream_version version;
    bool idempotent{};
    /** @brief The row's limits, taken from the table by the sender. */
    row_limits limits;
    /** @brief Time left in which an answer has its full value to the caller; zero if the route names none. */
    std::chrono::milliseconds objective{};
    /** @brief Rank of the route; 0 is the most urgent. */
    std::uint32_t priority{};
    call_request call;

    [[nodiscard]] friend bool operator==(const attempt_request&, const attempt_request&) = default;
};

} // namespace goldcrestwell

#endif
