#ifndef GOLDCRESTWELL_CORE_MESSAGE_UPSTREAM_INFO_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_UPSTREAM_INFO_HPP

#include "goldcrestwell/core/common/names.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief What an upstream announced about itself. */
struct upstream_info {
    service_name service;
    upstream_version version;
    /** @brief Calls it runs at the same time. */
    std::uint32_t slots{};
    /** @brief Connections it accepts. */
    std::uint32_t connections{};

    [[nodiscard]] friend bool operator==(const upstream_info&, const upstream_info&) = default;
};

} // namespace goldcrestwell

#endif
