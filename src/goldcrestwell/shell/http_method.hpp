#ifndef GOLDCRESTWELL_SHELL_HTTP_METHOD_HPP
#define GOLDCRESTWELL_SHELL_HTTP_METHOD_HPP

#include <event2/http.h>

#include <optional>
#include <string_view>

namespace goldcrestwell {

/** @return The name of a libevent method, or nothing if it is not one that is served. */
[[nodiscard]] std::optional<std::string_view> method_name(evhttp_cmd_type type) noexcept;

/** @return The libevent method with that name, or nothing. */
[[nodiscard]] std::optional<evhttp_cmd_type> method_type(std::string_view name) noexcept;

} // namespace goldcrestwell

#endif
