#ifndef GOLDCRESTWELL_SHELL_HTTP_HEADERS_HPP
#define GOLDCRESTWELL_SHELL_HTTP_HEADERS_HPP

#include "goldcrestwell/core/message/http_header.hpp"

#include <optional>
#include <string_view>
#include <vector>

struct evkeyvalq;

namespace goldcrestwell {

/** @return True for headers that concern one connection only and are not forwarded. */
[[nodiscard]] bool is_hop_by_hop(std::string_view name) noexcept;

/** @return True if the names are equal without regard to case. */
[[nodiscard]] bool same_header_name(std::string_view left, std::string_view right) noexcept;

/** @return The value of the first header with that name, or nothing. */
[[nodiscard]] std::optional<std::string_view> find_header(const std::vector<http_header>& headers,
                                                          std::string_view name) noexcept;

/** @brief Copies headers into a libevent list, without those that concern one connection only. */
void copy_headers(const std::vector<http_header>& headers, evkeyvalq* to);

/** @return The headers of a libevent list, without those that concern one connection only. */
[[nodiscard]] std::vector<http_header> copy_headers(const evkeyvalq* from);

} // namespace goldcrestwell

#endif
