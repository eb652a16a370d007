#include "goldcrestwell/core/message/edit_reason.hpp"

#include <array>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, edit_reason_count> names{
    "accepted",         "stale_row",       "empty_edit",          "row_named_twice",    "invalid_route",
    "invalid_service",  "invalid_version", "weight_out_of_range", "limit_out_of_range", "deadline_passed",
    "deadline_too_far", "mixed_services",  "no_weight_left",      "unknown_row",        "table_full"};

} // namespace

std::string_view to_string(const edit_reason value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace goldcrestwell
