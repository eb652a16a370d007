#ifndef GOLDCRESTWELL_CORE_MESSAGE_CALL_REQUEST_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_CALL_REQUEST_HPP

#include "goldcrestwell/core/message/http_header.hpp"
#include "goldcrestwell/core/message/message_body.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestwell {

/** @brief A caller's request with its complete body, as sent between nodes. */
struct call_request {
    std::string method;
    /** @brief Host addressed by the caller, without a port; empty if routes do not depend on the host. */
    std::string host;
    /** @brief Request id set by the caller, for logs; empty if there is none. */
    std::string request_id;
    /** @brief Path and query. */
    std::string target;
    std::vector<http_header> headers;
    message_body body;
    /** @brief Time left until the caller's deadline. */
    std::chrono::milliseconds timeout{};
    /** @brief Number of nodes passed since the first caller. */
    std::uint32_t hops{};

    [[nodiscard]] friend bool operator==(const call_request&, const call_request&) = default;
};

} // namespace goldcrestwell

#endif
