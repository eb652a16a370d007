#include "goldcrestwell/codec/transfer_frame.hpp"

namespace goldcrestwell {

namespace {

// msgpack never uses this byte, so no encoded message begins with it.
constexpr char marker = '\xC1';
constexpr std::size_t number_bytes = 8;
constexpr std::size_t head_bytes = 2 + number_bytes;
constexpr unsigned bits_per_byte = 8;

std::string encode_head(const transfer_step step, const std::uint64_t number) {
    std::string head{marker, static_cast<char>(step)};
    for (std::size_t index = number_bytes; index-- > 0;) {
        head.push_back(static_cast<char>(number >> (index * bits_per_byte) & 0xFFU));
    }
    return head;
}

std::uint64_t read_number(const std::string_view bytes) noexcept {
    std::uint64_t number = 0;
    for (const char byte : bytes.substr(0, number_bytes)) {
        number = number << bits_per_byte | static_cast<unsigned char>(byte);
    }
    return number;
}

} // namespace

bool is_transfer_frame(const std::string_view frame) noexcept {
    return !frame.empty() && frame.front() == marker;
}

std::optional<transfer_frame> decode_transfer_frame(const std::string_view frame) noexcept {
    if (!is_transfer_frame(frame) || frame.size() < head_bytes ||
        static_cast<unsigned char>(frame[1]) > static_cast<unsigned char>(transfer_step::abort)) {
        return std::nullopt;
    }
    transfer_frame decoded{.step = static_cast<transfer_step>(frame[1]),
                           .number = read_number(frame.substr(2)),
                           .body_bytes = 0,
                           .payload = frame.substr(head_bytes)};
    if (decoded.step == transfer_step::begin) {
        if (decoded.payload.size() < number_bytes) {
            return std::nullopt;
        }
        decoded.body_bytes = read_number(decoded.payload);
        decoded.payload.remove_prefix(number_bytes);
    }
    return decoded;
}

std::string encode_transfer_begin(const std::uint64_t number, const std::uint64_t body_bytes,
                                  const std::string_view head) {
    auto frame = encode_head(transfer_step::begin, number);
    frame.append(encode_head(transfer_step::begin, body_bytes), 2, number_bytes);
    return frame.append(head);
}

std::string encode_transfer_part_head(const std::uint64_t number) {
    return encode_head(transfer_step::part, number);
}

std::string encode_transfer_abort(const std::uint64_t number) {
    return encode_head(transfer_step::abort, number);
}

} // namespace goldcrestwell
