#include "goldcrestwell/platform/entry_fields.hpp"

#include "goldcrestwell/codec/json_value.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

constexpr unsigned char first_visible = 0x21;
constexpr unsigned char delete_character = 0x7F;

bool is_control(const unsigned char character) {
    return character < first_visible - 1 || character == delete_character;
}

bool is_id_character(const unsigned char character) {
    constexpr std::string_view separators{"/?#%"};
    return character >= first_visible && character < delete_character &&
           separators.find(static_cast<char>(character)) == std::string_view::npos;
}

} // namespace

bool is_name(const std::string_view text) {
    return !text.empty() && text.size() <= max_name_bytes && std::ranges::none_of(text, is_control);
}

bool is_upstream_id(const std::string_view text) {
    return !text.empty() && text.size() <= max_name_bytes && std::ranges::all_of(text, is_id_character);
}

std::string to_name(const nlohmann::json& value) {
    auto text = value.get<std::string>();
    if (!is_name(text)) {
        throw json_value_error{"name expected"};
    }
    return text;
}

std::string to_upstream_id(const nlohmann::json& value) {
    auto text = value.get<std::string>();
    if (!is_upstream_id(text)) {
        throw json_value_error{"id of an upstream expected"};
    }
    return text;
}

} // namespace goldcrestwell
