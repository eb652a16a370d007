#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_REQUEST_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_REQUEST_HPP

#include "goldcrestwell/core/common/names.hpp"

#include <chrono>

namespace goldcrestwell {

/** @brief Request of an operator to roll out a version of a service. */
struct rollout_request {
    service_name service;
    upstream_version target;
    /** @brief Time from the request to the end of the rollout. */
    std::chrono::milliseconds duration{};

    [[nodiscard]] friend bool operator==(const rollout_request&, const rollout_request&) = default;
};

} // namespace goldcrestwell

#endif
