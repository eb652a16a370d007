#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROLLBACK_REASON_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROLLBACK_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Reason for rolling back a version. */
enum class rollback_reason : std::uint8_t {
    none,
    failures,
    latency,
    failing_in_a_row,
    operator_request,
};

/** @brief Number of enumerators of `rollback_reason`. */
inline constexpr std::size_t rollback_reason_count = 5;

/** @return Name used in logs, metrics and headers. */
[[nodiscard]] std::string_view to_string(rollback_reason value) noexcept;

} // namespace goldcrestwell

#endif
