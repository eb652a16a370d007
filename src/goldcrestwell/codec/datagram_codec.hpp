#ifndef GOLDCRESTWELL_CODEC_DATAGRAM_CODEC_HPP
#define GOLDCRESTWELL_CODEC_DATAGRAM_CODEC_HPP

#include "goldcrestwell/codec/codec_reason.hpp"
#include "goldcrestwell/core/message/datagram.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @return The encoded datagram. */
[[nodiscard]] std::string encode(const datagram& message);

/** @brief Decodes datagrams of at most `max_datagram_bytes` and rejects larger ones. */
class datagram_decoder {
public:
    /** @return The decoded value, or nothing if the bytes are invalid; see `last_reason`. Never throws. */
    [[nodiscard]] std::optional<datagram> decode(std::string_view bytes);

    /** @return The outcome of the last call; `none` after a success. */
    [[nodiscard]] codec_reason last_reason() const noexcept { return reason_; }

private:
    codec_reason reason_{codec_reason::none};
};

} // namespace goldcrestwell

#endif
