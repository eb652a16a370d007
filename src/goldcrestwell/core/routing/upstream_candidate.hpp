#ifndef GOLDCRESTWELL_CORE_ROUTING_UPSTREAM_CANDIDATE_HPP
#define GOLDCRESTWELL_CORE_ROUTING_UPSTREAM_CANDIDATE_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Node with a live local upstream of the requested service and version. */
struct upstream_candidate {
    node_id node;
    /** @brief Number of calls that the upstream runs concurrently, as announced. */
    std::uint32_t slots{};
    /** @brief Whether the node is in the caller's data centre. */
    bool local{};
    /** @brief Time of the first announcement, from which slow start counts. */
    steady_time announced_at{};
    /** @brief Whether the upstream gets its full share of the calls at once. */
    bool warm{};
};

} // namespace goldcrestwell

#endif
