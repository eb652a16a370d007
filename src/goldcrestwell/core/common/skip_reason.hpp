#ifndef GOLDCRESTWELL_CORE_COMMON_SKIP_REASON_HPP
#define GOLDCRESTWELL_CORE_COMMON_SKIP_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Reason for which a record of the operators has no effect. */
enum class skip_reason : std::uint8_t {
    known_offset,  /**< A record of the same key with the same or a later offset is known. */
    older_version, /**< The configuration in force has a later version. */
    known_request, /**< The rollout was requested by an earlier record already. */
};

inline constexpr std::size_t skip_reason_count = 3;

/** @return Name used in logs. */
[[nodiscard]] std::string_view to_string(skip_reason value) noexcept;

} // namespace goldcrestwell

#endif
