#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_REQUEST_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_REQUEST_HPP

#include "goldcrestwell/core/common/names.hpp"

#include <chrono>

namespace goldcrestwell {

/** @brief An operator's order to move a service's traffic to a version. */
struct rollout_request {
    service_name service;
    upstream_version target;
    /** @brief Time from the order to the end of the move. */
    std::chrono::milliseconds duration{};

    [[nodiscard]] friend bool operator==(const rollout_request&, const rollout_request&) = default;
};

} // namespace goldcrestwell

#endif
