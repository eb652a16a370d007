#ifndef GOLDCRESTWELL_CODEC_RECORD_CODEC_HPP
#define GOLDCRESTWELL_CODEC_RECORD_CODEC_HPP

#include "goldcrestwell/codec/codec_reason.hpp"
#include "goldcrestwell/core/message/log_record.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @return The encoded log record; empty for an unreadable record. */
[[nodiscard]] std::string encode(const log_record& record);

/** @brief Decodes a log record; never returns an `unreadable_record`. */
class record_decoder {
public:
    /** @return The decoded value, or nothing if the bytes are invalid; see `last_reason`. Never throws. */
    [[nodiscard]] std::optional<log_record> decode(std::string_view bytes);

    /** @return The outcome of the last call; `none` after a success. */
    [[nodiscard]] codec_reason last_reason() const noexcept { return reason_; }

private:
    codec_reason reason_{codec_reason::none};
};

} // namespace goldcrestwell

#endif
