#include "goldcrestwell/core/common/skip_reason.hpp"

#include <array>
#include <cstddef>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, skip_reason_count> names{"known_offset", "older_version", "known_request"};

} // namespace

std::string_view to_string(const skip_reason value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace goldcrestwell
