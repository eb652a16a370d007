#ifndef GOLDCRESTWELL_CODEC_ANNOUNCEMENT_HPP
#define GOLDCRESTWELL_CODEC_ANNOUNCEMENT_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/upstream_info.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace goldcrestwell {

/** @brief Announcement that the local upstream sends to its node. */
struct announcement {
    upstream_info upstream;
    /** @brief Endpoint on which the upstream listens; it has the same form as a node id. */
    node_id address;
    /** @brief Number of calls in progress as counted by the upstream; only a hint. */
    std::uint32_t load{};
};

/** @brief Reasons for rejecting an announcement. */
enum class announcement_reason : std::uint8_t { none, not_json, missing_key, unknown_key, wrong_type, out_of_range };

/** @return The name used in HTTP responses. */
[[nodiscard]] std::string_view to_string(announcement_reason value) noexcept;

/** @brief Reads announcements, which are JSON objects. */
class announcement_reader {
public:
    /** @return The announcement, or nothing if it is rejected; `last_reason` then returns the reason. */
    [[nodiscard]] std::optional<announcement> read(std::string_view text);
    [[nodiscard]] announcement_reason last_reason() const noexcept { return reason_; }

private:
    announcement_reason reason_{announcement_reason::none};
};

} // namespace goldcrestwell

#endif
