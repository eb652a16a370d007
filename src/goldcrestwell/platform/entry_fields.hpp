#ifndef GOLDCRESTWELL_PLATFORM_ENTRY_FIELDS_HPP
#define GOLDCRESTWELL_PLATFORM_ENTRY_FIELDS_HPP

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

/**
 * @file
 * @brief Fields of entries that name an upstream, a service or a node, for all decoders of the platform's messages.
 *
 * Other writers leave entries with fields that are missing, of another type or empty. Such an entry names nothing.
 */

namespace goldcrestwell {

/** @return True if the text is a name: not empty, of limited length, without control characters. */
[[nodiscard]] bool is_name(std::string_view text);

/** @return True if the text is the id of an upstream, which is a path segment and a header value. */
[[nodiscard]] bool is_upstream_id(std::string_view text);

/** @throws json_value_error or json::exception if the value is not a name. */
[[nodiscard]] std::string to_name(const nlohmann::json& value);

/** @throws json_value_error or json::exception if the value is not the id of an upstream. */
[[nodiscard]] std::string to_upstream_id(const nlohmann::json& value);

} // namespace goldcrestwell

#endif
