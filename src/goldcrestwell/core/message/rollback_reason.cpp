#include "goldcrestwell/core/message/rollback_reason.hpp"

#include <array>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, rollback_reason_count> names{"none", "failures", "latency", "failing_in_a_row",
                                                                    "operator_request"};

} // namespace

std::string_view to_string(const rollback_reason value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace goldcrestwell
