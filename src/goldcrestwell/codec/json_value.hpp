#ifndef GOLDCRESTWELL_CODEC_JSON_VALUE_HPP
#define GOLDCRESTWELL_CODEC_JSON_VALUE_HPP

#include "goldcrestwell/codec/wire_limits.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string_view>

namespace goldcrestwell {

/** @brief JSON value of another type than expected or outside of its range. */
class json_value_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/** @brief Maximum nesting of JSON text from other programs; the deepest message, a configuration, needs 5 levels. */
inline constexpr std::size_t max_json_depth = 32;

/** @return The parsed text, or nothing if it is invalid or nested deeper than `max_json_depth`. Never throws. */
[[nodiscard]] std::optional<nlohmann::json> parse_json(std::string_view text);

/** @throws json_value_error if the value is not an integer from zero to `max_value`. */
[[nodiscard]] std::uint64_t to_unsigned(const nlohmann::json& value, std::uint64_t max_value);

/** @brief Converts without loss. @throws json_value_error if the value is not an integer in the range of the type. */
template <std::unsigned_integral Integer>
[[nodiscard]] Integer to_integer(const nlohmann::json& value,
                                 const Integer max_value = std::numeric_limits<Integer>::max()) {
    return static_cast<Integer>(to_unsigned(value, max_value));
}

/**
 * @param value Number of units, which may have a fraction.
 * @return Duration from zero to `max_wire_duration`.
 * @throws json_value_error if the value is not a number or the duration is out of range.
 */
[[nodiscard]] std::chrono::milliseconds to_duration(const nlohmann::json& value, std::chrono::milliseconds unit);

} // namespace goldcrestwell

#endif
