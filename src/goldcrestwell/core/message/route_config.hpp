#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROUTE_CONFIG_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROUTE_CONFIG_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/message/weighted_service.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestwell {

/** @brief A route of an operator's configuration. */
struct route_config {
    route_name name;
    std::string host;
    /** @brief Begins and ends with a slash. */
    std::string prefix;
    /** @brief Services that share the calls; one entry for a route that is not split. */
    std::vector<weighted_service> services;
    /** @brief A call may be run more than once. */
    bool idempotent{};
    /** @brief Longest time for which a caller is kept waiting. */
    std::chrono::milliseconds timeout{};
    /** @brief Time within which an answer has its full value. */
    std::chrono::milliseconds objective{};
    /** @brief Upstreams that may run one call; zero if not limited. */
    std::uint32_t max_attempts{};
    /** @brief Rank among routes; 0 is the most urgent. */
    std::uint32_t priority{};

    [[nodiscard]] friend bool operator==(const route_config&, const route_config&) = default;
};

} // namespace goldcrestwell

#endif
