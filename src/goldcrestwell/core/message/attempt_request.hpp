#ifndef GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_REQUEST_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_REQUEST_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/row_limits.hpp"

#include <chrono>
#include <cstdint>

namespace goldcrestwell {

/** @brief Requests that a node runs a call at its local upstream. */
struct attempt_request {
    attempt_id id;
    /** @brief Start incarnation of the receiving node as known to the sender. */
    incarnation target_incarnation;
    route_name route;
    service_name service;
    upstream_version version;
    bool idempotent{};
    /** @brief Limits of the row in the sender's table. */
    row_limits limits;
    /** @brief Time left of the latency objective; zero if the route has no objective. */
    std::chrono::milliseconds objective{};
    /** @brief Priority of the route; 0 is the most urgent. */
    std::uint32_t priority{};
    call_request call;

    [[nodiscard]] friend bool operator==(const attempt_request&, const attempt_request&) = default;
};

} // namespace goldcrestwell

#endif
