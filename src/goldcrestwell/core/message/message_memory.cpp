#include "goldcrestwell/core/message/message_memory.hpp"

#include <numeric>

namespace goldcrestwell {

namespace {

// The headers of a call are held by its connection, its call and its attempt, and once more while they are sent.
constexpr std::size_t head_copies = 4;
// State of the call and of its attempts, apart from the headers.
constexpr std::size_t fixed_bytes = 2'048;

} // namespace

std::size_t head_memory(const std::size_t header_count, const std::size_t header_bytes) noexcept {
    return fixed_bytes + head_copies * (header_count * sizeof(http_header) + header_bytes);
}

std::size_t head_memory(const std::vector<http_header>& headers) noexcept {
    const auto bytes = std::accumulate(headers.begin(), headers.end(), std::size_t{},
                                       [](const std::size_t sum, const http_header& header) {
                                           return sum + header.name.size() + header.value.size();
                                       });
    return head_memory(headers.size(), bytes);
}

} // namespace goldcrestwell
