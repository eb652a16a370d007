#ifndef GOLDCRESTWELL_CORE_MESSAGE_CALL_OBSERVATION_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_CALL_OBSERVATION_HPP

#include "goldcrestwell/core/message/row_key.hpp"

#include <chrono>

namespace goldcrestwell {

/** @brief Outcome of one call as seen by the node beside the upstream. */
struct call_observation {
    row_key row;
    bool failed{};
    /** @brief The connection ended before a whole answer. */
    bool connection_lost{};
    std::chrono::microseconds latency{};
    /** @brief The upstream was starting; the latency says nothing about the version. */
    bool cold{};
};

} // namespace goldcrestwell

#endif
