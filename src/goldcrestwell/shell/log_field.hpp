#ifndef GOLDCRESTWELL_SHELL_LOG_FIELD_HPP
#define GOLDCRESTWELL_SHELL_LOG_FIELD_HPP

#include <concepts>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @brief One `name=value` pair of a log line. */
struct log_field {
    std::string_view name;
    std::string value;

    log_field(const std::string_view field_name, const std::string_view text) : name{field_name}, value{text} {}
    template <std::integral Number>
    log_field(const std::string_view field_name, const Number number)
        : name{field_name}, value{std::to_string(number)} {}
};

} // namespace goldcrestwell

#endif
