#include "goldcrestwell/codec/frame_splitter.hpp"

#include <cstdint>

namespace goldcrestwell {

namespace {

constexpr std::size_t prefix_bytes = 4;
constexpr unsigned bits_per_byte = 8;
// The buffer of a connection may take this much without a reservation, and is not kept larger between frames.
constexpr std::size_t usual_buffer_bytes = 16'384;

std::size_t read_length(const std::string_view prefix) noexcept {
    std::uint32_t length = 0;
    for (const char byte : prefix) {
        length = (length << bits_per_byte) | static_cast<unsigned char>(byte);
    }
    return length;
}

} // namespace

void frame_splitter::append(const std::string_view bytes) {
    if (reason_ != codec_reason::none) {
        return;
    }
    buffer_.erase(0, start_);
    start_ = 0;
    if (buffer_.empty() && memory_.size() > 0) {
        buffer_ = {};
        memory_.clear();
    }
    buffer_.append(bytes);
}

bool frame_splitter::reserve(const size_type bytes) {
    if (bytes <= usual_buffer_bytes || bytes <= memory_.size()) {
        return true;
    }
    // Large bodies come in parts, so a larger frame holds configuration or membership, which must not wait for bodies.
    if (!memory_.resize(bytes, memory_use::small)) {
        return false;
    }
    buffer_.reserve(bytes);
    return true;
}

void frame_splitter::fail(const codec_reason reason) noexcept {
    reason_ = reason;
    buffer_ = {};
    start_ = 0;
    memory_.clear();
}

std::optional<std::string_view> frame_splitter::next() {
    if (reason_ != codec_reason::none || pending() < prefix_bytes) {
        return std::nullopt;
    }
    const std::string_view rest = std::string_view{buffer_}.substr(start_);
    const std::size_t length = read_length(rest.substr(0, prefix_bytes));
    if (length == 0 || length > limit_) {
        fail(length == 0 ? codec_reason::malformed : codec_reason::too_large);
        return std::nullopt;
    }
    if (rest.size() - prefix_bytes < length) {
        if (!reserve(prefix_bytes + length)) {
            fail(codec_reason::out_of_memory);
        }
        return std::nullopt;
    }
    start_ += prefix_bytes + length;
    return rest.substr(prefix_bytes, length);
}

std::string frame_prefix(const std::size_t body_size) {
    std::string prefix(prefix_bytes, '\0');
    auto rest = static_cast<std::uint32_t>(body_size);
    for (std::size_t index = prefix_bytes; index-- > 0; rest >>= bits_per_byte) {
        prefix[index] = static_cast<char>(rest & 0xFFU);
    }
    return prefix;
}

} // namespace goldcrestwell
