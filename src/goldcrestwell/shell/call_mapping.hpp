#ifndef GOLDCRESTWELL_SHELL_CALL_MAPPING_HPP
#define GOLDCRESTWELL_SHELL_CALL_MAPPING_HPP

#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/call_result.hpp"
#include "goldcrestwell/shell/http_exchange.hpp"

#include <chrono>
#include <optional>
#include <string_view>

namespace goldcrestwell {

/** @brief Header with the remaining time of a call in milliseconds. */
inline constexpr std::string_view timeout_header = "goldcrestwell-timeout-ms";
/** @brief Header with the number of nodes that a call has passed so far. */
inline constexpr std::string_view hops_header = "goldcrestwell-hops";
/** @brief Header with `not-run` or `unknown` on responses from a node rather than an upstream. */
inline constexpr std::string_view outcome_header = "goldcrestwell-outcome";
/** @brief Header with the reason for a refusal. */
inline constexpr std::string_view reason_header = "goldcrestwell-reason";

/**
 * @brief Converts an HTTP request to a call.
 * @param default_timeout Timeout of a call whose request has no timeout header.
 * @return The call, or nothing if a Goldcrestwell header has an invalid value.
 */
[[nodiscard]] std::optional<call_request> to_call(const http_exchange& exchange,
                                                  std::chrono::milliseconds default_timeout);

/** @brief Converts the result of a call to an HTTP response. */
[[nodiscard]] http_response to_http(const call_result& result);

/** @brief Returns the headers to send to an upstream: the caller's, the remaining time and the hops. */
[[nodiscard]] std::vector<http_header> upstream_headers(const call_request& call, std::chrono::milliseconds timeout);

} // namespace goldcrestwell

#endif
