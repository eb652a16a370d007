#ifndef GOLDCRESTWELL_CORE_COMMON_DROP_REASON_HPP
#define GOLDCRESTWELL_CORE_COMMON_DROP_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Reason for discarding an input. */
enum class drop_reason : std::uint8_t {
    frame_too_large,
    frame_unreadable,
    datagram_too_large,
    datagram_unreadable,
    record_unreadable,
    record_old,
    batch_gap,
    late_reply,
    crossed_reply,
    unknown_sender,
    stale_fact,
    budget_exhausted,
    connection_refused,
    announcement_unreadable,
    out_of_memory,
};

/** @brief Number of enumerators of `drop_reason`. */
inline constexpr std::size_t drop_reason_count = 15;

/** @return Name used in logs, metrics and headers. */
[[nodiscard]] std::string_view to_string(drop_reason value) noexcept;

} // namespace goldcrestwell

#endif
