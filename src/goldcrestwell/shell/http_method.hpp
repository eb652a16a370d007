#ifndef GOLDCRESTWELL_SHELL_HTTP_METHOD_HPP
#define GOLDCRESTWELL_SHELL_HTTP_METHOD_HPP

#include <event2/http.h>

#include <optional>
#include <string_view>

namespace goldcrestwell {

/** @brief Returns the libevent method with the given name, or nothing if there is none. */
[[nodiscard]] std::optional<evhttp_cmd_type> method_type(std::string_view name) noexcept;

} // namespace goldcrestwell

#endif
