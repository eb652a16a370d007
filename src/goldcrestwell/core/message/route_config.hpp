#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROUTE_CONFIG_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROUTE_CONFIG_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/message/weighted_service.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestwell {

/** @brief Route of the operators' configuration. */
struct route_config {
    route_name name;
    std::string host;
    /** @brief Path prefix; begins and ends with a slash. */
    std::string prefix;
    /** @brief Services that share the calls; one entry if the route is not split. */
    std::vector<weighted_service> services;
    /** @brief Whether a call may be run more than once. */
    bool idempotent{};
    /** @brief Maximum time until the caller receives a result. */
    std::chrono::milliseconds timeout{};
    /** @brief Latency objective; a response that takes longer loses value. */
    std::chrono::milliseconds objective{};
    /** @brief Maximum number of upstreams that may run a call; zero means no limit. */
    std::uint32_t max_attempts{};
    /** @brief Priority among routes; 0 is the most urgent. */
    std::uint32_t priority{};

    [[nodiscard]] friend bool operator==(const route_config&, const route_config&) = default;
};

} // namespace goldcrestwell

#endif
