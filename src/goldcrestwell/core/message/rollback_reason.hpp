#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROLLBACK_REASON_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROLLBACK_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Why a version was taken back. */
enum class rollback_reason : std::uint8_t {
    none,
    failures,
    latency,
    failing_in_a_row,
    operator_request,
};

/** @brief Number of enumerators of `take_back_reason`. */
inline constexpr std::size_t rollback_reason_count = 5;

/** @return The name used in logs, metrics and headers. */
[[nodiscard]] std::string_view to_string(rollback_reason value) noexcept;

} // namespace goldcrestwell

#endif
