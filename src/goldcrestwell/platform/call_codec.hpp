#ifndef GOLDCRESTWELL_PLATFORM_CALL_CODEC_HPP
#define GOLDCRESTWELL_PLATFORM_CALL_CODEC_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/call_result.hpp"
#include "goldcrestwell/shell/http_exchange.hpp"
#include "goldcrestwell/shell/response_verdict.hpp"

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/**
 * @param exchange Request of a caller.
 * @param caller_service Service of the local upstream, which is the caller of all requests to this node.
 * @return The call described by the request, or nothing if its host is missing or its path or deadline is invalid.
 */
[[nodiscard]] std::optional<call_request> decode_call(const http_exchange& exchange,
                                                      const service_name& caller_service);

/** @return The HTTP response that reports the result of a call to its caller. */
[[nodiscard]] http_response encode_result(const call_result& result);

/** @return The headers of the request that is sent to the upstream with the given id. */
[[nodiscard]] std::vector<http_header> encode_call_headers(const call_request& call, std::chrono::milliseconds timeout,
                                                           std::string_view upstream_id);

/** @return The meaning of the response of the upstream to a request. */
[[nodiscard]] response_verdict classify_response(const call_request& call, const http_response& response);

} // namespace goldcrestwell

#endif
