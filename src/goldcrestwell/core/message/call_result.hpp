#ifndef GOLDCRESTWELL_CORE_MESSAGE_CALL_RESULT_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_CALL_RESULT_HPP

#include "goldcrestwell/core/message/call_refusal.hpp"
#include "goldcrestwell/core/message/http_response.hpp"

#include <variant>

namespace goldcrestwell {

/** @brief Result of a call: the response of an upstream or a refusal. */
using call_result = std::variant<http_response, call_refusal>;

} // namespace goldcrestwell

#endif
