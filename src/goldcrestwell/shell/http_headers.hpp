#ifndef GOLDCRESTWELL_SHELL_HTTP_HEADERS_HPP
#define GOLDCRESTWELL_SHELL_HTTP_HEADERS_HPP

#include "goldcrestwell/core/message/http_header.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/** @brief Checks whether a header is hop-by-hop: valid for one connection only and not forwarded. */
[[nodiscard]] bool is_hop_by_hop(std::string_view name) noexcept;

/** @brief Checks whether two header names are equal, ignoring case. */
[[nodiscard]] bool same_header_name(std::string_view left, std::string_view right) noexcept;

/** @brief Returns the value of the first header with the given name, or nothing. */
[[nodiscard]] std::optional<std::string_view> find_header(const std::vector<http_header>& headers,
                                                          std::string_view name) noexcept;

} // namespace goldcrestwell

#endif
