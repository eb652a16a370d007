#ifndef GOLDCRESTWELL_CORE_MESSAGE_UPSTREAM_INFO_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_UPSTREAM_INFO_HPP

#include "goldcrestwell/core/common/names.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Properties announced by an upstream. */
struct upstream_info {
    service_name service;
    upstream_version version;
    /** @brief Maximum number of concurrent calls. */
    std::uint32_t slots{};
    /** @brief Maximum number of connections. */
    std::uint32_t connections{};
    /** @brief Distinguishes two starts of an upstream at the same address; zero if not announced. */
    std::uint64_t generation{};
    /** @brief Whether the upstream has announced the end of its cold start. */
    bool warm{};

    [[nodiscard]] friend bool operator==(const upstream_info&, const upstream_info&) = default;
};

} // namespace goldcrestwell

#endif
