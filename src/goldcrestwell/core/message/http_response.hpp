#ifndef GOLDCRESTWELL_CORE_MESSAGE_HTTP_RESPONSE_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_HTTP_RESPONSE_HPP

#include "goldcrestwell/core/message/http_header.hpp"
#include "goldcrestwell/core/message/message_body.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestwell {

/** @brief Complete HTTP response of an upstream. */
struct http_response {
    std::uint32_t status{};
    std::vector<http_header> headers;
    message_body body;

    [[nodiscard]] friend bool operator==(const http_response&, const http_response&) = default;
};

} // namespace goldcrestwell

#endif
