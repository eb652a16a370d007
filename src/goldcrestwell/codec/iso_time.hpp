#ifndef GOLDCRESTWELL_CODEC_ISO_TIME_HPP
#define GOLDCRESTWELL_CODEC_ISO_TIME_HPP

#include "goldcrestwell/core/common/time.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @return The time as `2026-12-04T12:00:00Z`, with milliseconds only if they are not zero. */
[[nodiscard]] std::string to_iso8601(wall_time time);

/** @return The time of a text in the form of `to_iso8601`, from 1970 to 9999, or nothing if the text is invalid. */
[[nodiscard]] std::optional<wall_time> parse_iso8601(std::string_view text);

} // namespace goldcrestwell

#endif
