#ifndef GOLDCRESTWELL_CORE_COMMON_STORE_OFFSET_HPP
#define GOLDCRESTWELL_CORE_COMMON_STORE_OFFSET_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/store_era.hpp"

#include <cstdint>

namespace goldcrestwell {

// An offset in a topic of the store consists of an era, in the upper half, and of the number of the record in the
// history of that era. A store that returns from an older copy gives numbers out again; with the era, an offset names
// one record only, and each offset of a later history is larger than all of an earlier one.

/** @brief Number of bits of an offset that hold the number of the record. */
inline constexpr unsigned store_number_bits = 32;

/** @return Offset of a record, or position after it. */
[[nodiscard]] constexpr log_offset make_store_offset(const store_era era, const std::uint32_t number) noexcept {
    return log_offset{(std::uint64_t{era.value()} << store_number_bits) | number};
}

[[nodiscard]] constexpr store_era era_of(const log_offset offset) noexcept {
    return store_era{static_cast<std::uint32_t>(offset.value() >> store_number_bits)};
}

/** @return Number of records up to and including this one in the history of its era. */
[[nodiscard]] constexpr std::uint32_t number_of(const log_offset offset) noexcept {
    return static_cast<std::uint32_t>(offset.value());
}

} // namespace goldcrestwell

#endif
