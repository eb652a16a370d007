#ifndef GOLDCRESTWELL_CORE_COMMON_STORE_ERA_HPP
#define GOLDCRESTWELL_CORE_COMMON_STORE_ERA_HPP

#include "goldcrestwell/core/common/tagged_value.hpp"

#include <cstdint>

namespace goldcrestwell {

/**
 * @brief Number of a history of the store, which rises each time that the store returns from an older copy.
 *
 * Zero is the era of a store that reports none.
 */
using store_era = tagged_value<struct store_era_tag, std::uint32_t>;

} // namespace goldcrestwell

#endif
