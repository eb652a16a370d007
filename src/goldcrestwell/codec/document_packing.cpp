#include "goldcrestwell/codec/document_packing.hpp"

#include "goldcrestwell/codec/wire_limits.hpp"

#include <zlib.h>

#include <array>
#include <cstdint>

namespace goldcrestwell {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr unsigned bits_per_byte = 8;
constexpr unsigned low_byte_mask = 0xFF;

} // namespace

std::string pack_document(const std::string_view text) {
    std::string packed(length_bytes, '\0');
    for (std::size_t i = 0; i < length_bytes; ++i) {
        packed[i] = static_cast<char>((text.size() >> (bits_per_byte * (length_bytes - 1 - i))) & low_byte_mask);
    }
    auto compressed_bytes = compressBound(static_cast<uLong>(text.size()));
    packed.resize(length_bytes + compressed_bytes);
    // The buffer has the size given by compressBound, so only a failed memory allocation could cause an error.
    static_cast<void>(compress2(reinterpret_cast<Bytef*>(packed.data() + length_bytes), &compressed_bytes,
                                reinterpret_cast<const Bytef*>(text.data()), static_cast<uLong>(text.size()),
                                Z_BEST_SPEED));
    packed.resize(length_bytes + compressed_bytes);
    return packed;
}

std::optional<std::string> unpack_document(const std::string_view packed) {
    if (packed.size() <= length_bytes) {
        return std::nullopt;
    }
    std::size_t length = 0;
    for (const auto byte : packed.substr(0, length_bytes)) {
        length = (length << bits_per_byte) | static_cast<unsigned char>(byte);
    }
    if (length > max_body_bytes) {
        return std::nullopt;
    }
    std::string text(length, '\0');
    auto unpacked_bytes = static_cast<uLongf>(length);
    const auto body = packed.substr(length_bytes);
    const auto result = uncompress(reinterpret_cast<Bytef*>(text.data()), &unpacked_bytes,
                                   reinterpret_cast<const Bytef*>(body.data()), static_cast<uLong>(body.size()));
    return result == Z_OK && unpacked_bytes == length ? std::optional{std::move(text)} : std::nullopt;
}

} // namespace goldcrestwell
