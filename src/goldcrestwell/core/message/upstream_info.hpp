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
    /** @brief Differs between two starts of an upstream at the same place; zero if the upstream does not state it. */
    std::uint64_t generation{};
    /** @brief It has said that its cold start is over. */
    bool warm{};

    [[nodiscard]] friend bool operator==(const upstream_info&, const upstream_info&) = default;
};

} // namespace goldcrestwell

#endif
