#ifndef GOLDCRESTWELL_CODEC_SETTINGS_REASON_HPP
#define GOLDCRESTWELL_CODEC_SETTINGS_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Reasons for rejecting a setting. */
enum class settings_reason : std::uint8_t {
    none,
    not_json,
    missing,
    unknown_key,
    duplicate_key,
    wrong_type,
    out_of_range,
    not_an_address,
    not_an_endpoint,
    not_a_name,
    not_a_level,
    contradicts,
};

/** @brief Number of enumerators of `settings_reason`. */
inline constexpr std::size_t settings_reason_count = 12;

/** @return The name used in error messages. */
[[nodiscard]] std::string_view to_string(settings_reason value) noexcept;

} // namespace goldcrestwell

#endif
