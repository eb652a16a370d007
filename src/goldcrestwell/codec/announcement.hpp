#ifndef GOLDCRESTWELL_CODEC_ANNOUNCEMENT_HPP
#define GOLDCRESTWELL_CODEC_ANNOUNCEMENT_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/upstream_info.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace goldcrestwell {

/** @brief What an upstream tells the node beside it. */
struct announcement {
    upstream_info upstream;
    /** @brief Where the upstream listens; an endpoint has the same form as a node's id. */
    node_id address;
    /** @brief Calls in progress as the upstream counts them; a hint. */
    std::uint32_t load{};
};

/** @brief Why an announcement was refused. */
enum class announcement_reason : std::uint8_t { none, not_json, missing_key, unknown_key, wrong_type, out_of_range };

/** @return The name used in answers. */
[[nodiscard]] std::string_view to_string(announcement_reason value) noexcept;

/** @brief Reads announcements, which are JSON objects. */
class announcement_reader {
public:
    /** @return The announcement, or nothing; then `last_reason` tells why. */
    [[nodiscard]] std::optional<announcement> read(std::string_view text);
    [[nodiscard]] announcement_reason last_reason() const noexcept { return reason_; }

private:
    announcement_reason reason_{announcement_reason::none};
};

} // namespace goldcrestwell

#endif
