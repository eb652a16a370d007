#ifndef GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_EVENT_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_EVENT_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/refusal_reason.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace goldcrestwell {

/** @brief Outcome of an attempt at the node that ran or refused it, for logs and metrics. */
struct attempt_event {
    std::string request_id;
    route_name route;
    upstream_version version;
    /** @brief Version of the configuration in force at this node when the attempt arrived. */
    std::uint64_t config_version{};
    /** @brief Node of the caller. */
    node_id origin;
    refusal_reason reason{};
    /** @brief Number of nodes passed since the first caller; above one if a running request made the call. */
    std::uint32_t depth{};
    /** @brief Time in the queue. */
    std::chrono::microseconds queued{};
    /** @brief Time at the upstream; zero if the attempt did not reach it. */
    std::chrono::microseconds at_upstream{};
    /** @brief Time left of the latency objective when the attempt arrived; zero if there is no objective. */
    std::chrono::milliseconds objective{};
    std::size_t busy_slots{};
    std::size_t waiting{};
};

} // namespace goldcrestwell

#endif
