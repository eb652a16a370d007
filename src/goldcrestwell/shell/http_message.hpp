#ifndef GOLDCRESTWELL_SHELL_HTTP_MESSAGE_HPP
#define GOLDCRESTWELL_SHELL_HTTP_MESSAGE_HPP

#include "goldcrestwell/core/message/http_header.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestwell {

/** @brief A parsed HTTP/1 request or answer. */
struct http_message {
    /** @brief Of a request. */
    std::string method;
    /** @brief Path and query of a request. */
    std::string target;
    /** @brief Of an answer. */
    std::uint32_t status{};
    /** @brief Without those that concern one connection only. */
    std::vector<http_header> headers;
    std::string body;
    /** @brief The connection can carry another message after this one. */
    bool keep_alive{};
    /** @brief The end is marked by a length or by chunks, not by the end of the connection. */
    bool framed{};
    /** @brief The sender waits for `100 Continue` before it sends the body. */
    bool expects_continue{};
};

} // namespace goldcrestwell

#endif
