#include "goldcrestwell/core/node/resource_shares.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

// Program, configuration, membership and the overhead of the allocator.
constexpr std::size_t min_base_bytes = std::size_t{48} << 20U;
constexpr std::size_t base_divisor = 4;
constexpr std::size_t small_buffer_divisor = 4;
constexpr std::size_t archive_divisor = 8;
constexpr std::size_t max_archive_bytes = std::size_t{32} << 20U;
constexpr std::size_t id_memory_divisor = 4;
constexpr std::size_t id_bytes = 100;
constexpr std::size_t max_attempt_ids = 1'000'000;
// Connections of callers take at most half of the memory for buffers.
constexpr std::size_t connection_memory_divisor = 2;
constexpr std::size_t caller_connection_bytes = std::size_t{64} << 10U;

constexpr std::size_t file_descriptors = 200;
constexpr std::size_t caller_divisor = 2;
constexpr std::size_t peer_divisor = 4;
constexpr std::size_t upstream_divisor = 8;
constexpr std::size_t service_divisor = 32;
constexpr std::size_t max_caller_connections = 2'000;
constexpr std::size_t max_upstream_connections = 10'000;
constexpr std::size_t max_service_connections = 64;

} // namespace

resource_shares divide_resources(const std::size_t memory_bytes, const std::size_t descriptors) noexcept {
    const auto base = std::max(min_base_bytes, memory_bytes / base_divisor);
    const auto buffers = memory_bytes - std::min(memory_bytes, base);
    const auto sockets = descriptors - std::min(descriptors, file_descriptors);
    return {.buffer_bytes = buffers,
            .small_buffer_bytes = buffers / small_buffer_divisor,
            .archive_bytes = std::min(buffers / archive_divisor, max_archive_bytes),
            .attempt_ids = std::min(base / id_memory_divisor / id_bytes, max_attempt_ids),
            .caller_connections =
                std::min({sockets / caller_divisor, max_caller_connections,
                          std::max<std::size_t>(buffers / connection_memory_divisor / caller_connection_bytes, 1)}),
            .peer_connections = sockets / peer_divisor,
            .upstream_connections = std::min(sockets / upstream_divisor, max_upstream_connections),
            .service_connections =
                std::min(std::max<std::size_t>(sockets / service_divisor, 1), max_service_connections)};
}

} // namespace goldcrestwell
