#include "goldcrestwell/core/membership/control_priority.hpp"

#include <array>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, control_priority_count> names{
    "detection", "take_back", "leaving", "position", "join", "evidence", "anti_entropy"};

} // namespace

std::string_view to_string(const control_priority value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace goldcrestwell
