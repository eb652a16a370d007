#include "goldcrestwell/shell/http_message_parser.hpp"

#include "goldcrestwell/core/message/message_memory.hpp"
#include "goldcrestwell/shell/http_headers.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace goldcrestwell {

namespace {

constexpr std::uint32_t min_final_status = 200;
// Separators and line ends take up to three bytes for each counted byte of a header.
constexpr std::size_t overhead_factor = 4;
// Bytes of chunk sizes, extensions and line ends for each byte of a body; a chunk of one byte needs five.
constexpr std::size_t max_chunk_overhead = 16;
// Memory is reserved in steps, so that small messages need few reservations.
constexpr std::size_t head_memory_step = 4'096;
constexpr std::size_t min_body_capacity = 4'096;

/** @brief Checks for a transfer coding other than chunks, which the body would keep. */
bool has_unknown_coding(const std::vector<http_header>& headers) {
    return std::ranges::any_of(headers, [](const http_header& header) {
        return same_header_name(header.name, "Transfer-Encoding") && !same_header_name(header.value, "chunked");
    });
}

http_message_parser& parser_of(http_parser* parser) {
    return *static_cast<http_message_parser*>(parser->data);
}

} // namespace

http_message_parser::http_message_parser(http_message_parser_options options)
    : options_{std::move(options)}, head_scanner_{options_.requests ? http_head_kind::request
                                                                    : http_head_kind::response} {
    http_parser_init(&parser_, options_.requests ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    // http_parser has one header limit for the whole process; this class enforces its own limit for each connection.
    http_parser_set_max_header_size(std::numeric_limits<std::uint32_t>::max());
}

void http_message_parser::set_limits(const size_type max_header_bytes, const size_type max_body_bytes) noexcept {
    options_.max_header_bytes = max_header_bytes;
    options_.max_body_bytes = max_body_bytes;
}

const http_parser_settings& http_message_parser::callbacks() noexcept {
    static const http_parser_settings settings = [] {
        http_parser_settings parser_callbacks{};
        http_parser_settings_init(&parser_callbacks);
        parser_callbacks.on_message_begin = [](http_parser* parser) {
            parser_of(parser).begin();
            return 0;
        };
        parser_callbacks.on_url = [](http_parser* parser, const char* data, const size_t size) {
            auto& self = parser_of(parser);
            self.message_.target.append(data, size);
            self.header_bytes_ += size;
            if (self.header_bytes_ > self.options_.max_header_bytes) {
                return self.fail(http_parser_fault::headers_too_large);
            }
            return self.reserve_head() ? 0 : self.fail(http_parser_fault::out_of_memory);
        };
        parser_callbacks.on_header_field = [](http_parser* parser, const char* data, const size_t size) {
            return parser_of(parser).add_to_header({data, size}, true);
        };
        parser_callbacks.on_header_value = [](http_parser* parser, const char* data, const size_t size) {
            return parser_of(parser).add_to_header({data, size}, false);
        };
        parser_callbacks.on_headers_complete = [](http_parser* parser) {
            return parser_of(parser).finish_headers();
        };
        parser_callbacks.on_body = [](http_parser* parser, const char* data, const size_t size) {
            return parser_of(parser).add_to_body({data, size});
        };
        parser_callbacks.on_message_complete = [](http_parser* parser) {
            return parser_of(parser).finish();
        };
        return parser_callbacks;
    }();
    return settings;
}

http_message_parser::size_type http_message_parser::feed(const std::string_view bytes) {
    const auto body_bytes_before = body_bytes_;
    size_type consumed_bytes = 0;
    while (consumed_bytes < bytes.size() && !complete_ && fault_ == http_parser_fault::none) {
        auto next = bytes.substr(consumed_bytes);
        if (!head_scanner_.complete()) {
            next = next.substr(0, head_scanner_.feed(next));
            if (!head_scanner_.valid()) {
                fail(http_parser_fault::malformed);
                break;
            }
        }
        const auto parsed_bytes = parse(next);
        consumed_bytes += parsed_bytes;
        if (parsed_bytes == 0) {
            break;
        }
    }
    overhead_bytes_ = complete_ ? 0 : overhead_bytes_ + consumed_bytes - (body_bytes_ - body_bytes_before);
    const auto max_overhead = overhead_factor * options_.max_header_bytes + max_chunk_overhead * body_.size();
    if (overhead_bytes_ > max_overhead && fault_ == http_parser_fault::none) {
        fail(http_parser_fault::headers_too_large);
    }
    return consumed_bytes;
}

http_message_parser::size_type http_message_parser::parse(const std::string_view bytes) {
    http_parser_pause(&parser_, 0);
    const auto parsed_bytes = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (error != HPE_OK && error != HPE_PAUSED && fault_ == http_parser_fault::none) {
        fail(http_parser_fault::malformed);
    }
    if (parser_.upgrade != 0 && !complete_ && fault_ == http_parser_fault::none) {
        fail(http_parser_fault::malformed);
    }
    return parsed_bytes;
}

void http_message_parser::feed_end() {
    if (!complete_ && fault_ == http_parser_fault::none) {
        http_parser_pause(&parser_, 0);
        http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    }
}

std::optional<http_message> http_message_parser::take() {
    if (!std::exchange(complete_, false)) {
        return std::nullopt;
    }
    headers_complete_ = false;
    return std::exchange(message_, {});
}

void http_message_parser::discard() noexcept {
    message_ = {};
    header_ = {};
    body_ = {};
    memory_ = {};
    inside_ = false;
    if (fault_ == http_parser_fault::none) {
        fault_ = http_parser_fault::malformed;
    }
}

void http_message_parser::begin() {
    message_ = {};
    header_ = {};
    body_ = {};
    memory_ = memory_reservation{options_.memory};
    head_memory_ = 0;
    body_memory_ = 0;
    header_bytes_ = 0;
    in_value_ = false;
    inside_ = true;
    headers_complete_ = false;
}

int http_message_parser::add_to_header(const std::string_view text, const bool name) {
    header_bytes_ += text.size();
    if (header_bytes_ > options_.max_header_bytes) {
        return fail(http_parser_fault::headers_too_large);
    }
    if (headers_complete_) {
        // Trailer fields (after the last chunk) are not forwarded, but must be valid.
        const auto is_allowed = name ? is_field_name_byte : is_field_value_byte;
        const auto is_valid = std::ranges::all_of(
            text, [is_allowed](const char byte) { return is_allowed(static_cast<unsigned char>(byte)); });
        return is_valid ? 0 : fail(http_parser_fault::malformed);
    }
    if (name && std::exchange(in_value_, false)) {
        message_.headers.push_back(std::exchange(header_, {}));
        if (message_.headers.size() >= options_.max_header_count) {
            return fail(http_parser_fault::headers_too_large);
        }
    }
    if (!reserve_head()) {
        return fail(http_parser_fault::out_of_memory);
    }
    (name ? header_.name : header_.value).append(text);
    in_value_ = !name;
    return 0;
}

int http_message_parser::finish_headers() {
    if (!header_.name.empty()) {
        message_.headers.push_back(std::exchange(header_, {}));
    }
    headers_complete_ = true;
    message_.status = parser_.status_code;
    if (options_.requests) {
        message_.method = http_method_str(static_cast<http_method>(parser_.method));
    }
    message_.keep_alive = http_should_keep_alive(&parser_) != 0;
    message_.framed = no_body_ || is_framed();
    if (has_unknown_coding(message_.headers)) {
        return fail(http_parser_fault::malformed);
    }
    message_.expects_continue = find_header(message_.headers, "Expect").has_value();
    std::erase_if(message_.headers, [](const http_header& header) { return is_hop_by_hop(header.name); });
    const auto length = parser_.content_length;
    if (length != std::numeric_limits<std::uint64_t>::max() && length > options_.max_body_bytes && !no_body_) {
        return fail(http_parser_fault::body_too_large);
    }
    // A body whose length is known is reserved whole, so that a request that cannot be held is refused at once.
    if (length != std::numeric_limits<std::uint64_t>::max() && !no_body_ && !reserve_body(length)) {
        return fail(http_parser_fault::out_of_memory);
    }
    // Returning 1 tells http_parser that no body follows.
    return no_body_ ? 1 : 0;
}

bool http_message_parser::reserve_head() {
    const auto needed = head_memory(message_.headers.size() + 1, header_bytes_);
    if (needed <= head_memory_) {
        return true;
    }
    const auto reserved = (needed + head_memory_step - 1) / head_memory_step * head_memory_step;
    if (!memory_.resize(reserved + body_memory_, memory_use::small)) {
        return false;
    }
    head_memory_ = reserved;
    return true;
}

// While a body is copied to a larger buffer, the rest of that buffer has not been touched, so both take no more memory
// than the larger one.
bool http_message_parser::reserve_body(const size_type bytes) {
    if (bytes <= body_memory_) {
        return true;
    }
    const auto doubled = std::min(std::max(2 * body_memory_, min_body_capacity), options_.max_body_bytes);
    const auto capacity = body_memory_ == 0 ? bytes : std::max(bytes, doubled);
    const auto use = options_.counts_as_small ? memory_use::small : memory_use_of_body(capacity);
    if (!memory_.resize(head_memory_ + capacity, use)) {
        return false;
    }
    body_memory_ = capacity;
    body_.reserve(capacity);
    return true;
}

bool http_message_parser::is_framed() const noexcept {
    constexpr std::uint32_t no_content = 204;
    constexpr std::uint32_t not_modified = 304;
    const auto chunked = (parser_.flags & F_CHUNKED) != 0;
    const auto length_known = parser_.content_length != std::numeric_limits<std::uint64_t>::max();
    return chunked || length_known || message_.status < min_final_status || message_.status == no_content ||
           message_.status == not_modified;
}

int http_message_parser::add_to_body(const std::string_view text) {
    if (text.size() > options_.max_body_bytes || body_.size() > options_.max_body_bytes - text.size()) {
        return fail(http_parser_fault::body_too_large);
    }
    if (!reserve_body(body_.size() + text.size())) {
        return fail(http_parser_fault::out_of_memory);
    }
    body_.append(text);
    body_bytes_ += text.size();
    return 0;
}

int http_message_parser::finish() {
    inside_ = false;
    // The head of the next message is checked before it is parsed.
    head_scanner_.reset();
    http_parser_pause(&parser_, 1);
    if (!options_.requests && message_.status < min_final_status) {
        // An interim (1xx) response; the final response follows.
        return 0;
    }
    message_.body = message_body{std::exchange(body_, {}), std::exchange(memory_, {})};
    complete_ = true;
    no_body_ = false;
    return 0;
}

int http_message_parser::fail(const http_parser_fault fault) noexcept {
    fault_ = fault;
    body_ = {};
    memory_.clear();
    return -1;
}

} // namespace goldcrestwell
