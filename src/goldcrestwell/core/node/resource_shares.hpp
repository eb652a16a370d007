#ifndef GOLDCRESTWELL_CORE_NODE_RESOURCE_SHARES_HPP
#define GOLDCRESTWELL_CORE_NODE_RESOURCE_SHARES_HPP

#include <cstddef>

namespace goldcrestwell {

/** @brief Parts of the resources of a process; together they do not exceed them. */
struct resource_shares {
    /** @brief Memory for buffers, in bytes; the rest of the memory is for everything else. */
    std::size_t buffer_bytes{};
    /** @brief Part of the memory for buffers that only small messages get, in bytes. */
    std::size_t small_buffer_bytes{};
    /** @brief Part of the memory for buffers that stored responses of ended attempts may take, in bytes. */
    std::size_t archive_bytes{};
    /** @brief Ids of ended attempts; they are not part of the memory for buffers. */
    std::size_t attempt_ids{};
    std::size_t caller_connections{};
    std::size_t peer_connections{};
    std::size_t upstream_connections{};
    /** @brief Connections of each listener for operators, the platform and the upstream. */
    std::size_t service_connections{};
};

/**
 * @brief Divides the resources of a process.
 * @param memory_bytes Maximum resident memory.
 * @param descriptors Maximum number of open descriptors.
 */
[[nodiscard]] resource_shares divide_resources(std::size_t memory_bytes, std::size_t descriptors) noexcept;

} // namespace goldcrestwell

#endif
