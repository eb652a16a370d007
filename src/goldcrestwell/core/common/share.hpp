#ifndef GOLDCRESTWELL_CORE_COMMON_SHARE_HPP
#define GOLDCRESTWELL_CORE_COMMON_SHARE_HPP

#include "goldcrestwell/core/common/tagged_value.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Share of a route's traffic, in parts per million. */
using share = tagged_value<struct share_tag, std::uint32_t>;

/** @brief All traffic of a route. */
inline constexpr share full_share{1'000'000};

} // namespace goldcrestwell

#endif
