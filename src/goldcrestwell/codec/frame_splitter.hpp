#ifndef GOLDCRESTWELL_CODEC_FRAME_SPLITTER_HPP
#define GOLDCRESTWELL_CODEC_FRAME_SPLITTER_HPP

#include "goldcrestwell/codec/codec_reason.hpp"
#include "goldcrestwell/codec/wire_limits.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @brief Cuts a byte stream into frame bodies; each has its length before it, 4 bytes big-endian. */
class frame_splitter {
public:
    using size_type = std::size_t;

    /** @param limit Longest accepted frame body in bytes. */
    explicit frame_splitter(size_type limit = max_frame_bytes) noexcept : limit_{limit} {}

    /** @brief Adds bytes received; ignored after a failure. */
    void append(std::string_view bytes);

    /**
     * @return The next whole frame body, or nothing. `last_reason` is then `none` if more bytes are needed, `too_large`
     * or `malformed` if the stream is unusable from here on. The view is valid until the next call of `append`.
     */
    [[nodiscard]] std::optional<std::string_view> next();

    [[nodiscard]] codec_reason last_reason() const noexcept { return reason_; }

    /** @return Bytes kept that do not yet make a whole frame. */
    [[nodiscard]] size_type pending() const noexcept { return buffer_.size() - start_; }

private:
    size_type limit_;
    std::string buffer_;
    size_type start_{};
    codec_reason reason_{codec_reason::none};
};

/** @return The length prefix of a frame body with this size in bytes. */
[[nodiscard]] std::string frame_prefix(std::size_t body_size);

} // namespace goldcrestwell

#endif
