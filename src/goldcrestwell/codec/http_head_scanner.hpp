#ifndef GOLDCRESTWELL_CODEC_HTTP_HEAD_SCANNER_HPP
#define GOLDCRESTWELL_CODEC_HTTP_HEAD_SCANNER_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace goldcrestwell {

/** @brief Kind of the messages that an `http_head_scanner` checks. */
enum class http_head_kind : std::uint8_t { request, response };

/**
 * @brief Checks the head of an HTTP/1 message byte by byte, before a parser interprets it.
 *
 * Common parsers accept some heads that are not valid, such as a status line without three digits or a field whose name
 * holds a blank, and then disagree about the meaning of the message.
 */
class http_head_scanner {
public:
    using size_type = std::size_t;

    explicit http_head_scanner(const http_head_kind kind) noexcept : kind_{kind} {}

    /**
     * @brief Checks bytes up to the end of the head.
     * @return Number of bytes that belong to the head; fewer than given if the head is complete or invalid.
     */
    size_type feed(std::string_view bytes) noexcept;
    /** @brief Expects the head of the next message. */
    void reset() noexcept;

    [[nodiscard]] bool complete() const noexcept { return state_ == state::complete; }
    [[nodiscard]] bool valid() const noexcept { return state_ != state::invalid; }

private:
    enum class state : std::uint8_t { start_line, line_begin, name, value, complete, invalid };

    [[nodiscard]] state next(unsigned char byte) noexcept;
    [[nodiscard]] state next_in_start_line(unsigned char byte) noexcept;

    http_head_kind kind_;
    state state_{state::start_line};
    /** @brief Number of bytes of the start line so far. */
    size_type start_line_bytes_{};
    /** @brief Whether the last byte was a carriage return, which only a line feed may follow. */
    bool after_return_{};
};

/** @return Whether a byte may occur in the name of a field. */
[[nodiscard]] bool is_field_name_byte(unsigned char byte) noexcept;
/** @return Whether a byte may occur in the value of a field. */
[[nodiscard]] bool is_field_value_byte(unsigned char byte) noexcept;

} // namespace goldcrestwell

#endif
