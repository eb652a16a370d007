#ifndef GOLDCRESTWELL_SHELL_HTTP_MESSAGE_HPP
#define GOLDCRESTWELL_SHELL_HTTP_MESSAGE_HPP

#include "goldcrestwell/core/message/http_header.hpp"
#include "goldcrestwell/core/message/message_body.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestwell {

/** @brief Parsed HTTP/1 request or response. */
struct http_message {
    /** @brief Method; requests only. */
    std::string method;
    /** @brief Path and query; requests only. */
    std::string target;
    /** @brief Status code; responses only. */
    std::uint32_t status{};
    /** @brief Headers, except hop-by-hop headers. */
    std::vector<http_header> headers;
    message_body body;
    /** @brief Whether the connection stays open for another message. */
    bool keep_alive{};
    /** @brief Whether the end of the message is known before the connection closes, as with a length or chunks. */
    bool framed{};
    /** @brief Whether the sender waits for `100 Continue` before it sends the body. */
    bool expects_continue{};
};

} // namespace goldcrestwell

#endif
