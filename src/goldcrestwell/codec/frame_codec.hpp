#ifndef GOLDCRESTWELL_CODEC_FRAME_CODEC_HPP
#define GOLDCRESTWELL_CODEC_FRAME_CODEC_HPP

#include "goldcrestwell/codec/codec_reason.hpp"
#include "goldcrestwell/core/message/peer_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @return The encoded frame body, without its length prefix. */
[[nodiscard]] std::string encode(const peer_message& message);

/** @brief Decodes one frame body between nodes. */
class frame_decoder {
public:
    /** @return The decoded value, or nothing if the bytes are invalid; see `last_reason`. Never throws. */
    [[nodiscard]] std::optional<peer_message> decode(std::string_view bytes);

    /** @return The outcome of the last call; `none` after a success. */
    [[nodiscard]] codec_reason last_reason() const noexcept { return reason_; }

private:
    codec_reason reason_{codec_reason::none};
};

} // namespace goldcrestwell

#endif
