#ifndef GOLDCRESTWELL_CODEC_TRANSFER_FRAME_HPP
#define GOLDCRESTWELL_CODEC_TRANSFER_FRAME_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @brief Kinds of frames that carry a message with a large body in parts. */
enum class transfer_step : std::uint8_t { begin, part, abort };

/** @brief Frame of a transfer; the views refer to the decoded bytes. */
struct transfer_frame {
    transfer_step step{};
    /** @brief Number of the transfer, unique for each sender on a connection. */
    std::uint64_t number{};
    /** @brief Size of the whole body; `begin` only. */
    std::uint64_t body_bytes{};
    /** @brief Encoded message without its body for `begin`, the next bytes of the body for `part`. */
    std::string_view payload;
};

/** @return Whether a frame body belongs to a transfer; other frame bodies hold a whole message. */
[[nodiscard]] bool is_transfer_frame(std::string_view frame) noexcept;

/** @return The decoded frame, or nothing if it is malformed. */
[[nodiscard]] std::optional<transfer_frame> decode_transfer_frame(std::string_view frame) noexcept;

/** @param head Encoded message without its body. */
[[nodiscard]] std::string encode_transfer_begin(std::uint64_t number, std::uint64_t body_bytes, std::string_view head);
/** @return The first bytes of a part; the bytes of the body follow. */
[[nodiscard]] std::string encode_transfer_part_head(std::uint64_t number);
[[nodiscard]] std::string encode_transfer_abort(std::uint64_t number);

} // namespace goldcrestwell

#endif
