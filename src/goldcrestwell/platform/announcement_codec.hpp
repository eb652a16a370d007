#ifndef GOLDCRESTWELL_PLATFORM_ANNOUNCEMENT_CODEC_HPP
#define GOLDCRESTWELL_PLATFORM_ANNOUNCEMENT_CODEC_HPP

#include "goldcrestwell/core/message/upstream_announcement.hpp"

#include <optional>
#include <string_view>

namespace goldcrestwell {

/**
 * @param id Id of the upstream, from the path of the call.
 * @return What an upstream says of itself, or nothing if a field is missing or unusable. Never throws.
 */
[[nodiscard]] std::optional<upstream_announcement> decode_announcement(std::string_view id, std::string_view body);

} // namespace goldcrestwell

#endif
