#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_CONTROL_PRIORITY_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_CONTROL_PRIORITY_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Priority of control traffic, highest first; a higher priority may use more of the byte budget. */
enum class control_priority : std::uint8_t { detection, take_back, leaving, position, join, evidence, anti_entropy };

/** @brief Number of enumerators of `control_priority`. */
inline constexpr std::size_t control_priority_count = 7;

/** @brief Returns the name used in logs and metrics. */
[[nodiscard]] std::string_view to_string(control_priority value) noexcept;

} // namespace goldcrestwell

#endif
