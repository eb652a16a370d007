#include "goldcrestwell/codec/csv_reason.hpp"

#include <array>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, csv_reason_count> names{
    "none",           "too_large",        "wrong_encoding", "wrong_separator", "bad_quoting",   "no_header",
    "unknown_column", "duplicate_column", "missing_column", "surplus_field",   "empty_field",   "not_an_integer",
    "percent_sign",   "decimal_number",   "out_of_range",   "not_a_time",      "not_a_boolean", "not_a_policy",
    "not_a_route",    "not_a_name",       "duplicate_row"};

} // namespace

std::string_view to_string(const csv_reason value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace goldcrestwell
