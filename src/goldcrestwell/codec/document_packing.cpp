#include "goldcrestwell/codec/document_packing.hpp"

#include "goldcrestwell/codec/wire_limits.hpp"

#include <zlib.h>

#include <array>
#include <cstdint>

namespace goldcrestwell {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr unsigned bits_of_a_byte = 8;
constexpr unsigned low_byte = 0xFF;

} // namespace

std::string pack_document(const std::string_view text) {
    std::string packed(length_bytes, '\0');
    for (std::size_t i = 0; i < length_bytes; ++i) {
        packed[i] = static_cast<char>((text.size() >> (bits_of_a_byte * (length_bytes - 1 - i))) & low_byte);
    }
    auto room = compressBound(static_cast<uLong>(text.size()));
    packed.resize(length_bytes + room);
    // With enough room only a lack of memory could fail here.
    static_cast<void>(compress2(reinterpret_cast<Bytef*>(packed.data() + length_bytes), &room,
                                reinterpret_cast<const Bytef*>(text.data()), static_cast<uLong>(text.size()),
                                Z_BEST_SPEED));
    packed.resize(length_bytes + room);
    return packed;
}

std::optional<std::string> unpack_document(const std::string_view packed) {
    if (packed.size() <= length_bytes) {
        return std::nullopt;
    }
    std::size_t length = 0;
    for (const auto byte : packed.substr(0, length_bytes)) {
        length = (length << bits_of_a_byte) | static_cast<unsigned char>(byte);
    }
    if (length > max_body_bytes) {
        return std::nullopt;
    }
    std::string text(length, '\0');
    auto filled = static_cast<uLongf>(length);
    const auto body = packed.substr(length_bytes);
    const auto result = uncompress(reinterpret_cast<Bytef*>(text.data()), &filled,
                                   reinterpret_cast<const Bytef*>(body.data()), static_cast<uLong>(body.size()));
    return result == Z_OK && filled == length ? std::optional{std::move(text)} : std::nullopt;
}

} // namespace goldcrestwell
