#include "goldcrestwell/codec/http_head_scanner.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

// Pattern of a status line up to the end of the status: `d` stands for a digit, `s` for the first digit of a status.
constexpr std::string_view status_line_pattern{"HTTP/1.d sdd"};

constexpr unsigned char delete_byte = 0x7F;

bool is_digit(const unsigned char byte) noexcept {
    return byte >= '0' && byte <= '9';
}

bool matches(const char pattern, const unsigned char byte) noexcept {
    switch (pattern) {
    case 'd':
        return is_digit(byte);
    case 's':
        return byte >= '1' && byte <= '5';
    default:
        return byte == static_cast<unsigned char>(pattern);
    }
}

} // namespace

bool is_field_name_byte(const unsigned char byte) noexcept {
    constexpr std::string_view symbols{"!#$%&'*+-.^_`|~"};
    return is_digit(byte) || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z') ||
           symbols.find(static_cast<char>(byte)) != std::string_view::npos;
}

bool is_field_value_byte(const unsigned char byte) noexcept {
    return byte == '\t' || (byte >= ' ' && byte != delete_byte);
}

http_head_scanner::size_type http_head_scanner::feed(const std::string_view bytes) noexcept {
    size_type used = 0;
    while (used < bytes.size() && valid() && !complete()) {
        state_ = next(static_cast<unsigned char>(bytes[used++]));
    }
    return used;
}

void http_head_scanner::reset() noexcept {
    state_ = state::start_line;
    start_line_bytes_ = 0;
    after_return_ = false;
}

http_head_scanner::state http_head_scanner::next(const unsigned char byte) noexcept {
    if (after_return_ && byte != '\n') {
        return state::invalid;
    }
    after_return_ = byte == '\r';
    switch (state_) {
    case state::start_line:
        return next_in_start_line(byte);
    case state::line_begin:
        if (byte == '\r') {
            return state::line_begin;
        }
        if (byte == '\n') {
            return state::complete;
        }
        // A line that begins with a blank would continue the field before it, which is obsolete.
        return is_field_name_byte(byte) ? state::name : state::invalid;
    case state::name:
        if (byte == ':') {
            return state::value;
        }
        return is_field_name_byte(byte) ? state::name : state::invalid;
    case state::value:
        if (byte == '\n') {
            return state::line_begin;
        }
        return byte == '\r' || is_field_value_byte(byte) ? state::value : state::invalid;
    default:
        return state_;
    }
}

http_head_scanner::state http_head_scanner::next_in_start_line(const unsigned char byte) noexcept {
    const auto at_end = byte == '\r' || byte == '\n';
    if (kind_ == http_head_kind::request) {
        // Empty lines before a request are ignored.
        if (at_end) {
            return byte == '\n' && start_line_bytes_ > 0 ? state::line_begin : state::start_line;
        }
        ++start_line_bytes_;
        return is_field_value_byte(byte) ? state::start_line : state::invalid;
    }
    const auto position = start_line_bytes_++;
    if (position < status_line_pattern.size()) {
        return matches(status_line_pattern[position], byte) ? state::start_line : state::invalid;
    }
    if (byte == '\n') {
        return state::line_begin;
    }
    const auto separates = position > status_line_pattern.size() || at_end || byte == ' ';
    return separates && (at_end || is_field_value_byte(byte)) ? state::start_line : state::invalid;
}

} // namespace goldcrestwell
