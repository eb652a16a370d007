#ifndef GOLDCRESTWELL_CORE_ROUTING_UPSTREAM_CANDIDATE_HPP
#define GOLDCRESTWELL_CORE_ROUTING_UPSTREAM_CANDIDATE_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief A node beside a live upstream of the wanted service and version. */
struct upstream_candidate {
    node_id node;
    /** @brief Calls that the upstream runs at the same time, as announced. */
    std::uint32_t slots{};
    /** @brief In the caller's own data centre. */
    bool local{};
    /** @brief When the upstream was first announced; slow start counts from here. */
    steady_time since{};
    /** @brief Gets its full part of the calls at once. */
    bool warm{};
};

} // namespace goldcrestwell

#endif
