#ifndef GOLDCRESTWELL_PLATFORM_ANNOUNCEMENT_CODEC_HPP
#define GOLDCRESTWELL_PLATFORM_ANNOUNCEMENT_CODEC_HPP

#include "goldcrestwell/core/message/upstream_announcement.hpp"

#include <optional>
#include <string_view>

namespace goldcrestwell {

/**
 * @param id Id of the upstream, taken from the request path.
 * @param body JSON body of the request.
 * @return The decoded announcement, or nothing if a field is missing or invalid. Never throws.
 */
[[nodiscard]] std::optional<upstream_announcement> decode_announcement(std::string_view id, std::string_view body);

} // namespace goldcrestwell

#endif
