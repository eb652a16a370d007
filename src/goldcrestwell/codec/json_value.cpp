#include "goldcrestwell/codec/json_value.hpp"

namespace goldcrestwell {

namespace {

// Checked before parsing, because each level takes tens of bytes of memory for one byte of text.
bool is_too_deep(const std::string_view text) {
    std::size_t depth = 0;
    auto in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto character = text[i];
        if (in_string) {
            i += character == '\\' ? 1U : 0U;
            in_string = character != '"';
        } else if (character == '"') {
            in_string = true;
        } else if (character == '[' || character == '{') {
            if (++depth > max_json_depth) {
                return true;
            }
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

} // namespace

std::optional<nlohmann::json> parse_json(const std::string_view text) {
    if (is_too_deep(text)) {
        return std::nullopt;
    }
    auto document = nlohmann::json::parse(text, nullptr, false);
    return document.is_discarded() ? std::nullopt : std::optional{std::move(document)};
}

std::uint64_t to_unsigned(const nlohmann::json& value, const std::uint64_t max_value) {
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max_value) {
        throw json_value_error{"integer from 0 to " + std::to_string(max_value) + " expected"};
    }
    return value.get<std::uint64_t>();
}

std::chrono::milliseconds to_duration(const nlohmann::json& value, const std::chrono::milliseconds unit) {
    if (!value.is_number()) {
        throw json_value_error{"duration expected"};
    }
    // The comparison is false for values that are not finite. The cast is undefined for numbers out of range.
    const auto time = value.get<double>() * static_cast<double>(unit.count());
    if (!(time >= 0.0 && time <= static_cast<double>(max_wire_duration.count()))) {
        throw json_value_error{"duration out of range"};
    }
    return std::chrono::milliseconds{static_cast<std::chrono::milliseconds::rep>(time)};
}

} // namespace goldcrestwell
