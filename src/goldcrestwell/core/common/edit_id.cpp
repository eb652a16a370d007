#include "goldcrestwell/core/common/edit_id.hpp"

#include <charconv>

namespace goldcrestwell {

namespace {

constexpr std::size_t digits_per_half = 16;

std::string hexadecimal(const std::uint64_t value) {
    std::string digits(digits_per_half, '0');
    std::string text(digits_per_half, '\0');
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value, 16).ptr;
    const auto length = static_cast<std::size_t>(end - text.data());
    digits.replace(digits_per_half - length, length, text, 0, length);
    return digits;
}

std::optional<std::uint64_t> parse_half(const std::string_view text) {
    std::uint64_t value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string to_string(const edit_id& id) {
    return hexadecimal(id.high) + hexadecimal(id.low);
}

std::optional<edit_id> parse_edit_id(const std::string_view text) {
    if (text.size() != 2 * digits_per_half) {
        return std::nullopt;
    }
    const auto high = parse_half(text.substr(0, digits_per_half));
    const auto low = parse_half(text.substr(digits_per_half));
    if (!high || !low) {
        return std::nullopt;
    }
    return edit_id{.high = *high, .low = *low};
}

} // namespace goldcrestwell
