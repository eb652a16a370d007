#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROUTING_CONFIG_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROUTING_CONFIG_HPP

#include "goldcrestwell/core/message/caller_limits.hpp"
#include "goldcrestwell/core/message/route_config.hpp"
#include "goldcrestwell/core/message/service_config.hpp"

#include <cstdint>
#include <vector>

namespace goldcrestwell {

/** @brief Complete configuration of the operators; a higher version replaces a lower one. */
struct routing_config {
    std::uint64_t version{};
    std::vector<route_config> routes;
    std::vector<service_config> services;
    caller_limits limits;

    [[nodiscard]] friend bool operator==(const routing_config&, const routing_config&) = default;
};

} // namespace goldcrestwell

#endif
