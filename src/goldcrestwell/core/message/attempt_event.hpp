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

/** @brief What became of an attempt at the node beside the upstream, with what decided it. */
struct attempt_event {
    std::string request_id;
    route_name route;
    upstream_version version;
    /** @brief Node of the caller. */
    node_id origin;
    refusal_reason reason{};
    /** @brief Nodes passed since the first caller; above one, the call of a running request. */
    std::uint32_t depth{};
    /** @brief Time in the queue. */
    std::chrono::microseconds queued{};
    /** @brief Time at the upstream; zero if the attempt did not get there. */
    std::chrono::microseconds at_upstream{};
    /** @brief Time within which an answer has its full value, as left when the attempt came; zero if none is stated. */
    std::chrono::milliseconds objective{};
    std::size_t busy_slots{};
    std::size_t waiting{};
};

} // namespace goldcrestwell

#endif
