#ifndef GOLDCRESTWELL_CODEC_CODEC_REASON_HPP
#define GOLDCRESTWELL_CODEC_CODEC_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Reasons for a decoding failure. */
enum class codec_reason : std::uint8_t {
    none,
    truncated,
    malformed,
    wrong_type,
    unknown_version,
    unknown_kind,
    out_of_range,
    too_large,
    out_of_memory,
};

/** @brief Number of enumerators of `codec_reason`. */
inline constexpr std::size_t codec_reason_count = 9;

/** @return The name used in logs and error messages. */
[[nodiscard]] std::string_view to_string(codec_reason value) noexcept;

} // namespace goldcrestwell

#endif
