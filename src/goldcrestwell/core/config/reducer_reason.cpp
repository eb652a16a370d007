#include "goldcrestwell/core/config/reducer_reason.hpp"

#include <array>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, reducer_reason_count> names{"none",
                                                                   "applied",
                                                                   "record_old",
                                                                   "record_unreadable",
                                                                   "duplicate_edit",
                                                                   "edit_rejected",
                                                                   "stale_fact",
                                                                   "fact_known",
                                                                   "checkpoint_seen",
                                                                   "digest_diverged",
                                                                   "checkpoint_old",
                                                                   "checkpoint_incomplete",
                                                                   "checkpoint_corrupt",
                                                                   "step_refused"};

} // namespace

std::string_view to_string(const reducer_reason value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace goldcrestwell
