#include "goldcrestwell/core/common/node_id.hpp"

#include <charconv>
#include <limits>

namespace goldcrestwell {

namespace {

constexpr int octet_count = 4;

std::optional<std::uint32_t> take_number(std::string_view& text, const std::uint32_t limit) {
    std::uint32_t number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || number > limit) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return number;
}

bool take_character(std::string_view& text, const char expected) {
    if (text.empty() || text.front() != expected) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

} // namespace

std::string to_string(const node_id id) {
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string((id.address() >> static_cast<unsigned>(shift)) & 0xFFU);
        text += shift == 0 ? ':' : '.';
    }
    return text + std::to_string(id.port());
}

std::optional<node_id> parse_node_id(std::string_view text) {
    std::uint32_t address{};
    for (int octet = 0; octet < octet_count; ++octet) {
        if (octet > 0 && !take_character(text, '.')) {
            return std::nullopt;
        }
        const auto number = take_number(text, std::numeric_limits<std::uint8_t>::max());
        if (!number) {
            return std::nullopt;
        }
        address = (address << 8U) | *number;
    }
    if (!take_character(text, ':')) {
        return std::nullopt;
    }
    const auto port = take_number(text, std::numeric_limits<std::uint16_t>::max());
    if (!port || *port == 0 || !text.empty()) {
        return std::nullopt;
    }
    return node_id{address, static_cast<std::uint16_t>(*port)};
}

} // namespace goldcrestwell
