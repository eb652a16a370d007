#ifndef GOLDCRESTWELL_CORE_COMMON_CALL_ID_HPP
#define GOLDCRESTWELL_CORE_COMMON_CALL_ID_HPP

#include "goldcrestwell/core/common/tagged_value.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Identity of a caller's request within one process. */
using call_id = tagged_value<struct call_id_tag, std::uint64_t>;

} // namespace goldcrestwell

#endif
