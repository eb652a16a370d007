#include "goldcrestwell/codec/settings_reason.hpp"

#include <array>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, settings_reason_count> names{
    "none",         "not_json",       "missing",         "unknown_key", "duplicate_key", "wrong_type",
    "out_of_range", "not_an_address", "not_an_endpoint", "not_a_name",  "not_a_level",   "contradicts"};

} // namespace

std::string_view to_string(const settings_reason value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace goldcrestwell
