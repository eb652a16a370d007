#ifndef GOLDCRESTWELL_SHELL_CALL_MAPPING_HPP
#define GOLDCRESTWELL_SHELL_CALL_MAPPING_HPP

#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/call_result.hpp"
#include "goldcrestwell/shell/http_exchange.hpp"

#include <chrono>
#include <optional>
#include <string_view>

namespace goldcrestwell {

/** @brief Remaining time of a call in milliseconds. */
inline constexpr std::string_view timeout_header = "goldcrestwell-timeout-ms";
/** @brief Nodes passed so far. */
inline constexpr std::string_view hops_header = "goldcrestwell-hops";
/** @brief `not-run` or `unknown` on answers that come from a node and not from an upstream. */
inline constexpr std::string_view outcome_header = "goldcrestwell-outcome";
/** @brief Reason of a refusal. */
inline constexpr std::string_view reason_header = "goldcrestwell-reason";

/**
 * @brief Reads a call from an HTTP request.
 * @param default_timeout Used if the request has no time-out header.
 * @return Nothing if a header of the system has a bad value.
 */
[[nodiscard]] std::optional<call_request> to_call(const http_exchange& exchange,
                                                  std::chrono::milliseconds default_timeout);

/** @return The HTTP answer for the result of a call. */
[[nodiscard]] http_response to_http(const call_result& result);

/** @return The headers sent to an upstream: the caller's and the remaining time and hops. */
[[nodiscard]] std::vector<http_header> upstream_headers(const call_request& call, std::chrono::milliseconds timeout);

} // namespace goldcrestwell

#endif
