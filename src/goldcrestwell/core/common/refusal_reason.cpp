#include "goldcrestwell/core/common/refusal_reason.hpp"

#include <array>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, refusal_reason_count> names{"none",
                                                                   "not_ready",
                                                                   "no_route",
                                                                   "no_upstream",
                                                                   "queue_full",
                                                                   "deadline_passed",
                                                                   "draining",
                                                                   "too_many_hops",
                                                                   "retry_budget_exhausted",
                                                                   "connection_limit",
                                                                   "upstream_failing",
                                                                   "request_too_large",
                                                                   "bad_request",
                                                                   "peer_unreachable",
                                                                   "wrong_life",
                                                                   "wrong_upstream",
                                                                   "cancelled",
                                                                   "duplicate",
                                                                   "never_seen_before",
                                                                   "upstream_unreachable",
                                                                   "upstream_timeout",
                                                                   "upstream_reset",
                                                                   "answer_truncated",
                                                                   "answer_too_large",
                                                                   "peer_lost",
                                                                   "peer_restarted",
                                                                   "upstream_rejected",
                                                                   "answer_invalid",
                                                                   "calls_refused",
                                                                   "out_of_memory"};

} // namespace

std::string_view to_string(const refusal_reason value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace goldcrestwell
