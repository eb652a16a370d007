#include "goldcrestwell/codec/iso_time.hpp"

#include <cstdint>

namespace goldcrestwell {

namespace {

constexpr int min_year = 1970;

void append_digits(std::string& text, const std::int64_t value, const std::size_t width) {
    const std::string digits = std::to_string(value);
    text.append(width > digits.size() ? width - digits.size() : 0, '0').append(digits);
}

// Reads consecutive fields of fixed width. After a failure, `complete` always returns false.
class digit_scanner {
public:
    explicit digit_scanner(const std::string_view text) noexcept : rest_{text} {}

    int digits(const std::size_t width) noexcept {
        int value = 0;
        for (std::size_t index = 0; index < width; ++index) {
            if (index >= rest_.size() || rest_[index] < '0' || rest_[index] > '9') {
                failed_ = true;
                return 0;
            }
            value = value * 10 + (rest_[index] - '0');
        }
        rest_.remove_prefix(width);
        return value;
    }
    bool skip_if(const char expected) noexcept {
        if (!rest_.starts_with(expected)) {
            return false;
        }
        rest_.remove_prefix(1);
        return true;
    }
    void skip(const char expected) noexcept { failed_ = !skip_if(expected) || failed_; }
    [[nodiscard]] bool complete() const noexcept { return !failed_ && rest_.empty(); }

private:
    std::string_view rest_;
    bool failed_{};
};

} // namespace

std::string to_iso8601(const wall_time time) {
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date{day};
    const std::chrono::hh_mm_ss<std::chrono::milliseconds> clock{time - day};
    std::string text;
    append_digits(text, static_cast<int>(date.year()), 4);
    append_digits(text += '-', static_cast<unsigned>(date.month()), 2);
    append_digits(text += '-', static_cast<unsigned>(date.day()), 2);
    append_digits(text += 'T', clock.hours().count(), 2);
    append_digits(text += ':', clock.minutes().count(), 2);
    append_digits(text += ':', clock.seconds().count(), 2);
    if (clock.subseconds().count() != 0) {
        append_digits(text += '.', clock.subseconds().count(), 3);
    }
    return text += 'Z';
}

std::optional<wall_time> parse_iso8601(const std::string_view text) {
    digit_scanner scanner{text};
    const std::chrono::year year{scanner.digits(4)};
    scanner.skip('-');
    const std::chrono::month month{static_cast<unsigned>(scanner.digits(2))};
    scanner.skip('-');
    const std::chrono::year_month_day date{year, month, std::chrono::day{static_cast<unsigned>(scanner.digits(2))}};
    scanner.skip('T');
    const std::chrono::hours hours{scanner.digits(2)};
    scanner.skip(':');
    const std::chrono::minutes minutes{scanner.digits(2)};
    scanner.skip(':');
    const std::chrono::seconds seconds{scanner.digits(2)};
    const std::chrono::milliseconds fraction{scanner.skip_if('.') ? scanner.digits(3) : 0};
    scanner.skip('Z');
    const bool in_range = date.ok() && static_cast<int>(year) >= min_year && hours < std::chrono::days{1} &&
                          minutes < std::chrono::hours{1} && seconds < std::chrono::minutes{1};
    if (!scanner.complete() || !in_range) {
        return std::nullopt;
    }
    return wall_time{std::chrono::sys_days{date}} + hours + minutes + seconds + fraction;
}

} // namespace goldcrestwell
