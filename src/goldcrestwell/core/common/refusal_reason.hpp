#ifndef GOLDCRESTWELL_CORE_COMMON_REFUSAL_REASON_HPP
#define GOLDCRESTWELL_CORE_COMMON_REFUSAL_REASON_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Reason why a call ended without a response of an upstream. */
enum class refusal_reason : std::uint8_t {
    none,
    not_ready,
    no_route,
    no_upstream,
    queue_full,
    deadline_passed,
    draining,
    too_many_hops,
    retry_budget_exhausted,
    connection_limit,
    upstream_failing,
    request_too_large,
    bad_request,
    peer_unreachable,
    wrong_life,
    wrong_upstream,
    cancelled,
    duplicate,
    never_seen_before,
    upstream_unreachable,
    upstream_timeout,
    upstream_reset,
    answer_truncated,
    answer_too_large,
    peer_lost,
    peer_restarted,
    upstream_rejected,
    answer_invalid,
    calls_refused,
    out_of_memory,
};

/** @brief Number of enumerators of `refusal_reason`. */
inline constexpr std::size_t refusal_reason_count = 30;

/** @return Name used in logs, metrics and headers. */
[[nodiscard]] std::string_view to_string(refusal_reason value) noexcept;

} // namespace goldcrestwell

#endif
