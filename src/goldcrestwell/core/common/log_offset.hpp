#ifndef GOLDCRESTWELL_CORE_COMMON_LOG_OFFSET_HPP
#define GOLDCRESTWELL_CORE_COMMON_LOG_OFFSET_HPP

#include "goldcrestwell/core/common/tagged_value.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Offset of a record in the platform's log; zero means none. Offsets may have gaps. */
using log_offset = tagged_value<struct log_offset_tag, std::uint64_t>;

} // namespace goldcrestwell

#endif
