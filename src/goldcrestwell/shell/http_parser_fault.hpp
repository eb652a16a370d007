#ifndef GOLDCRESTWELL_SHELL_HTTP_PARSER_FAULT_HPP
#define GOLDCRESTWELL_SHELL_HTTP_PARSER_FAULT_HPP

#include <cstdint>

namespace goldcrestwell {

/** @brief Reason why received bytes are not a valid HTTP message. */
enum class http_parser_fault : std::uint8_t { none, malformed, headers_too_large, body_too_large, out_of_memory };

} // namespace goldcrestwell

#endif
