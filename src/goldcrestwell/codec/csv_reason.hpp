#ifndef GOLDCRESTWELL_CODEC_CSV_REASON_HPP
#define GOLDCRESTWELL_CODEC_CSV_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Reasons for rejecting a table file. */
enum class csv_reason : std::uint8_t {
    none,
    too_large,
    wrong_encoding,
    wrong_separator,
    bad_quoting,
    no_header,
    unknown_column,
    duplicate_column,
    missing_column,
    surplus_field,
    empty_field,
    not_an_integer,
    percent_sign,
    decimal_number,
    out_of_range,
    not_a_time,
    not_a_boolean,
    not_a_policy,
    not_a_route,
    not_a_name,
    duplicate_row,
};

/** @brief Number of enumerators of `csv_reason`. */
inline constexpr std::size_t csv_reason_count = 21;

/** @return The name used in error messages. */
[[nodiscard]] std::string_view to_string(csv_reason value) noexcept;

} // namespace goldcrestwell

#endif
