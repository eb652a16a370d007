#ifndef GOLDCRESTWELL_CORE_COMMON_RETRY_REASON_HPP
#define GOLDCRESTWELL_CORE_COMMON_RETRY_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Reason for retrying a call. */
enum class retry_reason : std::uint8_t {
    not_run_elsewhere,
    peer_unreachable,
    never_seen,
    idempotent_upstream_failure,
    idempotent_peer_lost,
    idempotent_timeout,
};

/** @brief Number of enumerators of `retry_reason`. */
inline constexpr std::size_t retry_reason_count = 6;

/** @return Name used in logs, metrics and headers. */
[[nodiscard]] std::string_view to_string(retry_reason value) noexcept;

} // namespace goldcrestwell

#endif
