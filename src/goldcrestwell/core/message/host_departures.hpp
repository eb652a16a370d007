#ifndef GOLDCRESTWELL_CORE_MESSAGE_HOST_DEPARTURES_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_HOST_DEPARTURES_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/upstream_departure.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Departures that the store has recorded for the host of a node, the latest one last. */
struct host_departures {
    node_id node;
    std::vector<upstream_departure> departures;
};

} // namespace goldcrestwell

#endif
