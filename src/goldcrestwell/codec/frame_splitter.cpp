#include "goldcrestwell/codec/frame_splitter.hpp"

#include <cstdint>

namespace goldcrestwell {

namespace {

constexpr std::size_t prefix_bytes = 4;
constexpr unsigned bits_per_byte = 8;

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
    buffer_.append(bytes);
}

std::optional<std::string_view> frame_splitter::next() {
    if (reason_ != codec_reason::none || pending() < prefix_bytes) {
        return std::nullopt;
    }
    const std::string_view rest = std::string_view{buffer_}.substr(start_);
    const std::size_t length = read_length(rest.substr(0, prefix_bytes));
    if (length == 0 || length > limit_) {
        reason_ = length == 0 ? codec_reason::malformed : codec_reason::too_large;
        buffer_ = {};
        start_ = 0;
        return std::nullopt;
    }
    if (rest.size() - prefix_bytes < length) {
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
