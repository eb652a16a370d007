#ifndef GOLDCRESTWELL_CORE_MESSAGE_HTTP_HEADER_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_HTTP_HEADER_HPP

#include <string>

namespace goldcrestwell {

/** @brief One header line of an HTTP message. */
struct http_header {
    std::string name;
    std::string value;

    [[nodiscard]] friend bool operator==(const http_header&, const http_header&) = default;
};

} // namespace goldcrestwell

#endif
