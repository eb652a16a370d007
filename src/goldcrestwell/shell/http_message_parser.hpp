#ifndef GOLDCRESTWELL_SHELL_HTTP_MESSAGE_PARSER_HPP
#define GOLDCRESTWELL_SHELL_HTTP_MESSAGE_PARSER_HPP

#include "goldcrestwell/codec/http_head_scanner.hpp"
#include "goldcrestwell/core/common/memory_reservation.hpp"
#include "goldcrestwell/shell/http_message.hpp"
#include "goldcrestwell/shell/http_parser_fault.hpp"

#include <http_parser.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @brief Kind and size limits of the messages of a connection. */
struct http_message_parser_options {
    /** @brief Whether to parse requests; otherwise parses responses. */
    bool requests{};
    std::size_t max_header_bytes{std::size_t{64} << 10U};
    std::size_t max_body_bytes{std::size_t{1} << 20U};
    /** @brief Maximum number of headers; below that of the messages between nodes, which add some. */
    std::size_t max_header_count{65'000};
    /** @brief Budget from which messages reserve memory; if null, only the size limits apply. */
    std::shared_ptr<memory_budget> memory;
    /** @brief Whether bodies of any size count as small uses of the budget. */
    bool counts_as_small{};
};

/** @brief Parses a byte stream into HTTP/1 messages, one at a time. */
class http_message_parser {
public:
    using size_type = std::size_t;

    explicit http_message_parser(http_message_parser_options options);

    // The C parser holds a pointer to this object.
    http_message_parser(const http_message_parser&) = delete;
    http_message_parser& operator=(const http_message_parser&) = delete;

    /** @brief Sets the size limits; they apply from the next byte. */
    void set_limits(size_type max_header_bytes, size_type max_body_bytes) noexcept;

    /**
     * @brief Parses bytes up to the end of one message.
     * @return Number of bytes consumed; fewer than given if a message is complete or invalid.
     */
    size_type feed(std::string_view bytes);
    /** @brief Signals an orderly end of the stream, which completes a response without a length. */
    void feed_end();

    /** @brief Returns the complete message and removes it from the parser, or returns nothing. */
    [[nodiscard]] std::optional<http_message> take();
    [[nodiscard]] http_parser_fault fault() const noexcept { return fault_; }
    /** @brief Checks whether a message has begun and is not complete. */
    [[nodiscard]] bool inside() const noexcept { return inside_; }
    [[nodiscard]] bool headers_complete() const noexcept { return headers_complete_; }
    /** @brief Returns the part of the message that has been parsed so far, without its body. */
    [[nodiscard]] const http_message& partial() const noexcept { return message_; }
    /** @brief Discards an incomplete message and releases its memory; the rest of the stream is unusable. */
    void discard() noexcept;
    /** @brief Makes the parser expect no body in the next response, regardless of its headers. */
    void expect_no_body() noexcept { no_body_ = true; }

private:
    [[nodiscard]] static const http_parser_settings& callbacks() noexcept;
    /** @brief Passes bytes that the head scanner accepts to the parser; returns the number of bytes consumed. */
    size_type parse(std::string_view bytes);
    void begin();
    int add_to_header(std::string_view text, bool name);
    [[nodiscard]] bool reserve_head();
    [[nodiscard]] bool reserve_body(size_type bytes);
    int finish_headers();
    [[nodiscard]] bool is_framed() const noexcept;
    int add_to_body(std::string_view text);
    int finish();
    int fail(http_parser_fault fault) noexcept;

    http_message_parser_options options_;
    http_head_scanner head_scanner_;
    http_parser parser_{};
    http_message message_;
    std::string body_;
    http_header header_;
    memory_reservation memory_;
    size_type head_memory_{};
    size_type body_memory_{};
    size_type header_bytes_{};
    size_type body_bytes_{};
    /**
     * @brief Bytes since the last byte of a body or the last message. Reason phrases, interim responses, extensions of
     * chunks and trailers need no memory, so only this counter bounds them.
     */
    size_type overhead_bytes_{};
    bool in_value_{};
    bool inside_{};
    bool headers_complete_{};
    bool complete_{};
    bool no_body_{};
    http_parser_fault fault_{http_parser_fault::none};
};

} // namespace goldcrestwell

#endif
