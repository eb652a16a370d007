#ifndef GOLDCRESTWELL_PLATFORM_CALL_CODEC_HPP
#define GOLDCRESTWELL_PLATFORM_CALL_CODEC_HPP

#include "goldcrestwell/core/common/names.hpp"
#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/call_result.hpp"
#include "goldcrestwell/core/message/upstream_result.hpp"
#include "goldcrestwell/shell/http_exchange.hpp"

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/**
 * @param caller_service Service of the upstream on this host, on which all requests to this node begin.
 * @return The call of a request, or nothing if it is unusable.
 */
[[nodiscard]] std::optional<call_request> read_call(const http_exchange& exchange, const service_name& caller_service);

/** @return The HTTP answer for the result of a call. */
[[nodiscard]] http_response write_result(const call_result& result);

/** @return The headers of a request to the upstream with that id. */
[[nodiscard]] std::vector<http_header> write_call(const call_request& call, std::chrono::milliseconds timeout,
                                                  std::string_view upstream_id);

/** @return What an upstream's answer says about the request. */
[[nodiscard]] upstream_outcome judge_answer(const call_request& call, const http_response& answer);

} // namespace goldcrestwell

#endif
