#ifndef GOLDCRESTWELL_CORE_MESSAGE_CALL_REQUEST_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_CALL_REQUEST_HPP

#include "goldcrestwell/core/message/http_header.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestwell {

/** @brief A caller's request as it travels between nodes; the body is whole. */
struct call_request {
    std::string method;
    /** @brief Host that the caller addressed, without a port; empty if routes do not depend on it. */
    std::string host;
    /** @brief Id that the caller gave the request, for logs; empty if it gave none. */
    std::string request_id;
    /** @brief Path and query. */
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    /** @brief Time left until the caller's deadline. */
    std::chrono::milliseconds timeout{};
    /** @brief Nodes passed so far on the way from the first caller. */
    std::uint32_t hops{};

    [[nodiscard]] friend bool operator==(const call_request&, const call_request&) = default;
};

} // namespace goldcrestwell

#endif
