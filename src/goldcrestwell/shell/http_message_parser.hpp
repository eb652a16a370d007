#ifndef GOLDCRESTWELL_SHELL_HTTP_MESSAGE_PARSER_HPP
#define GOLDCRESTWELL_SHELL_HTTP_MESSAGE_PARSER_HPP

#include "goldcrestwell/shell/http_message.hpp"
#include "goldcrestwell/shell/http_parser_fault.hpp"

#include <http_parser.h>

#include <cstddef>
#include <optional>
#include <string_view>

namespace goldcrestwell {

/** @brief Kind and limits of the messages of a connection. */
struct http_message_parser_options {
    /** @brief True at the side that receives requests. */
    bool requests{};
    std::size_t max_header_bytes{std::size_t{64} << 10U};
    std::size_t max_body_bytes{std::size_t{1} << 20U};
};

/** @brief Cuts a stream of bytes into HTTP/1 messages, one at a time. */
class http_message_parser {
public:
    using size_type = std::size_t;

    explicit http_message_parser(http_message_parser_options options);

    // The C parser holds a pointer to this object.
    http_message_parser(const http_message_parser&) = delete;
    http_message_parser& operator=(const http_message_parser&) = delete;

    /** @brief Limits for the messages from the next byte on. */
    void set_limits(size_type max_header_bytes, size_type max_body_bytes) noexcept;

    /**
     * @brief Reads bytes up to the end of one message.
     * @return Bytes used; fewer than given if a message is complete or unusable.
     */
    size_type feed(std::string_view bytes);
    /** @brief The stream has ended in order; completes an answer without a length. */
    void feed_end();

    /** @return The message that is complete, once. */
    [[nodiscard]] std::optional<http_message> take();
    [[nodiscard]] http_parser_fault fault() const noexcept { return fault_; }
    /** @return True if a message has begun and is not complete. */
    [[nodiscard]] bool inside() const noexcept { return inside_; }
    [[nodiscard]] bool headers_complete() const noexcept { return headers_complete_; }
    /** @return The message as far as it was read. */
    [[nodiscard]] const http_message& partial() const noexcept { return message_; }
    /** @brief The next answer has no body whatever its headers say. */
    void expect_no_body() noexcept { no_body_ = true; }

private:
    [[nodiscard]] static const http_parser_settings& callbacks() noexcept;
    void begin();
    int add_to_header(std::string_view text, bool name);
    int finish_headers();
    [[nodiscard]] bool has_frame() const noexcept;
    int add_to_body(std::string_view text);
    int finish();
    int fail(http_parser_fault fault) noexcept;

    http_message_parser_options options_;
    http_parser parser_{};
    http_message message_;
    http_header header_;
    size_type header_bytes_{};
    bool in_value_{};
    bool inside_{};
    bool headers_complete_{};
    bool complete_{};
    bool no_body_{};
    http_parser_fault fault_{http_parser_fault::none};
};

} // namespace goldcrestwell

#endif
