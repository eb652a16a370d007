#include "goldcrestwell/core/common/drop_reason.hpp"

#include <array>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, drop_reason_count> names{
    "frame_too_large", "frame_unreadable", "datagram_too_large", "datagram_unreadable",     "record_unreadable",
    "record_old",      "batch_gap",        "late_reply",         "crossed_reply",           "unknown_sender",
    "stale_fact",      "budget_exhausted", "connection_refused", "announcement_unreadable", "out_of_memory"};

} // namespace

std::string_view to_string(const drop_reason value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace goldcrestwell
