#ifndef GOLDCRESTWELL_CODEC_FRAME_SPLITTER_HPP
#define GOLDCRESTWELL_CODEC_FRAME_SPLITTER_HPP

#include "goldcrestwell/codec/codec_reason.hpp"
#include "goldcrestwell/codec/wire_limits.hpp"
#include "goldcrestwell/core/common/memory_reservation.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace goldcrestwell {

/** @brief Splits a byte stream into frame bodies. Each has a length prefix of 4 bytes, big-endian. */
class frame_splitter {
public:
    using size_type = std::size_t;

    /**
     * @param limit Maximum size of a frame body in bytes.
     * @param memory Reserves memory for frames that are larger than usual.
     */
    explicit frame_splitter(size_type limit = max_frame_bytes, memory_reservation memory = {}) noexcept
        : limit_{limit}, memory_{std::move(memory)} {}

    /** @brief Sets the maximum size of the frame bodies that follow. */
    void set_limit(const size_type limit) noexcept { limit_ = limit; }

    /** @brief Appends received bytes; ignored after a failure. */
    void append(std::string_view bytes);

    /**
     * @return The next complete frame body, or nothing. `last_reason` is then `none` if more bytes are needed,
     * `too_large`, `malformed` or `out_of_memory` if the rest of the stream is unusable. The view is valid until the
     * next call of `append`.
     */
    [[nodiscard]] std::optional<std::string_view> next();

    [[nodiscard]] codec_reason last_reason() const noexcept { return reason_; }

    /** @return Number of buffered bytes that `next` has not returned yet, length prefixes included. */
    [[nodiscard]] size_type pending() const noexcept { return buffer_.size() - start_; }

private:
    [[nodiscard]] bool reserve(size_type bytes);
    void fail(codec_reason reason) noexcept;

    size_type limit_;
    memory_reservation memory_;
    std::string buffer_;
    size_type start_{};
    codec_reason reason_{codec_reason::none};
};

/** @return The length prefix of a frame body with this size in bytes. */
[[nodiscard]] std::string frame_prefix(std::size_t body_size);

} // namespace goldcrestwell

#endif
