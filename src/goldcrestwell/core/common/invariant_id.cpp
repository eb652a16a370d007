#include "goldcrestwell/core/common/invariant_id.hpp"

#include <array>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, invariant_id_count> names{
    "version_monotonic", "references_closed", "apply_atomic",         "candidate_share_bounded", "answer_matches_call",
    "refusal_truthful",  "at_most_once",      "leaving_gets_no_work", "drain_cuts_nothing",      "accepted_in_force"};

} // namespace

std::string_view to_string(const invariant_id value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace goldcrestwell
