#ifndef GOLDCRESTWELL_CORE_MESSAGE_SERVICE_CONFIG_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_SERVICE_CONFIG_HPP

#include "goldcrestwell/core/common/names.hpp"

#include <cstdint>
#include <string>

namespace goldcrestwell {

/** @brief Settings for the upstreams of a service in the operators' configuration. */
struct service_config {
    service_name name;
    std::string health_path;
    /** @brief Maximum number of connections that one upstream accepts, over all callers. */
    std::uint32_t max_connections{};

    [[nodiscard]] friend bool operator==(const service_config&, const service_config&) = default;
};

} // namespace goldcrestwell

#endif
