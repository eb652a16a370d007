#include "goldcrestwell/core/rollout/row_state.hpp"

#include <array>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, row_state_count> names{"pending",    "moving", "done",
                                                              "taken_back", "late",   "rejected"};

} // namespace

std::string_view to_string(const row_state value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace goldcrestwell
