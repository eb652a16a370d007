#include "goldcrestwell/core/rollout/row_reason.hpp"

#include <array>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, row_reason_count> names{
    "none",
    "no_upstream",
    "stage_time",
    "thin_evidence",
    "undecided",
    "baking",
    "awaiting_proposer",
    "no_old_upstream",
    "failures",
    "latency",
    "failing_in_a_row",
    "operator_request",
    "replacement_moving",
    "replacement_taken_back",
};

} // namespace

std::string_view to_string(const row_reason value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

row_reason to_row_reason(const rollback_reason value) noexcept {
    switch (value) {
    case rollback_reason::failures:
        return row_reason::failures;
    case rollback_reason::latency:
        return row_reason::latency;
    case rollback_reason::failing_in_a_row:
        return row_reason::failing_in_a_row;
    case rollback_reason::operator_request:
        return row_reason::operator_request;
    case rollback_reason::none:
        break;
    }
    return row_reason::none;
}

} // namespace goldcrestwell
