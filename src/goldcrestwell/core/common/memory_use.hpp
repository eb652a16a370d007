#ifndef GOLDCRESTWELL_CORE_COMMON_MEMORY_USE_HPP
#define GOLDCRESTWELL_CORE_COMMON_MEMORY_USE_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief Use of reserved memory; a part of each budget is kept for small uses. */
enum class memory_use : std::uint8_t { small, large };

} // namespace goldcrestwell

#endif
