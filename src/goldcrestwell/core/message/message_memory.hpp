#ifndef GOLDCRESTWELL_CORE_MESSAGE_MESSAGE_MEMORY_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_MESSAGE_MEMORY_HPP

#include "goldcrestwell/core/common/memory_use.hpp"
#include "goldcrestwell/core/message/http_header.hpp"

#include <cstddef>
#include <vector>

namespace goldcrestwell {

/** @brief Maximum size of the body of a message that counts as a small use of memory, in bytes. */
inline constexpr std::size_t max_small_body_bytes = std::size_t{64} << 10U;

/** @return Bytes that the head of a message takes in all parts of the process together. */
[[nodiscard]] std::size_t head_memory(std::size_t header_count, std::size_t header_bytes) noexcept;
[[nodiscard]] std::size_t head_memory(const std::vector<http_header>& headers) noexcept;

[[nodiscard]] constexpr memory_use memory_use_of_body(const std::size_t bytes) noexcept {
    return bytes <= max_small_body_bytes ? memory_use::small : memory_use::large;
}

} // namespace goldcrestwell

#endif
