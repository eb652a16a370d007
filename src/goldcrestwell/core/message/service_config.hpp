#ifndef GOLDCRESTWELL_CORE_MESSAGE_SERVICE_CONFIG_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_SERVICE_CONFIG_HPP

#include "goldcrestwell/core/common/names.hpp"

#include <cstdint>
#include <string>

namespace goldcrestwell {

/** @brief What an operator's configuration says about the upstreams of a service. */
struct service_config {
    service_name name;
    std::string health_path;
    /** @brief Connections that one upstream accepts from all callers together. */
    std::uint32_t max_connections{};

    [[nodiscard]] friend bool operator==(const service_config&, const service_config&) = default;
};

} // namespace goldcrestwell

#endif
