#ifndef GOLDCRESTWELL_CODEC_LOG_BATCH_CODEC_HPP
#define GOLDCRESTWELL_CODEC_LOG_BATCH_CODEC_HPP

#include "goldcrestwell/codec/codec_reason.hpp"
#include "goldcrestwell/core/message/record_batch.hpp"

#include <optional>
#include <string_view>

namespace goldcrestwell {

/** @brief Decodes the platform log's response to a read. */
class log_batch_decoder {
public:
    /**
     * @param bytes The complete response body.
     * @param after The offset after which records were requested.
     * @return The batch, or nothing if the response is unusable; `last_reason` then returns the reason. Never throws. A
     * record that cannot be decoded becomes an `unreadable_record`. If the log no longer holds all records after
     * `after`, the batch begins immediately before the first retained record.
     */
    [[nodiscard]] std::optional<record_batch> decode(std::string_view bytes, log_offset after);

    /** @return The outcome of the last call; `none` after a success. */
    [[nodiscard]] codec_reason last_reason() const noexcept { return reason_; }

private:
    codec_reason reason_{codec_reason::none};
};

} // namespace goldcrestwell

#endif
