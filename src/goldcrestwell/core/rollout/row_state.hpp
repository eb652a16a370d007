#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROW_STATE_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROW_STATE_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief State of a row as shown in the operators' table. */
enum class row_state : std::uint8_t { pending, moving, done, taken_back, late, rejected };

/** @brief Number of enumerators of `row_state`. */
inline constexpr std::size_t row_state_count = 6;

/** @return The name used in the table. */
[[nodiscard]] std::string_view to_string(row_state value) noexcept;

} // namespace goldcrestwell

#endif
