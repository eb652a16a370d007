#include "goldcrestwell/codec/frame_codec.hpp"

#include "goldcrestwell/codec/wire_limits.hpp"
#include "goldcrestwell/codec/wire_object.hpp"
#include "goldcrestwell/codec/wire_reader.hpp"
#include "goldcrestwell/codec/wire_writer.hpp"

namespace goldcrestwell {

std::string encode(const peer_message& message) {
    internal::wire_writer writer;
    std::visit([&](const auto& alternative) { writer.write_body(message.index(), alternative); }, message);
    return writer.take();
}

std::optional<peer_message> frame_decoder::decode(const std::string_view bytes) {
    const auto parsed = internal::parse_object(bytes, max_frame_bytes, reason_);
    if (!parsed) {
        return std::nullopt;
    }
    internal::wire_reader reader;
    peer_message message;
    const auto kind = reader.read_head(parsed->get());
    if (!kind || !reader.read_alternative(parsed->get(), 2, *kind, message)) {
        reason_ = reader.reason();
        return std::nullopt;
    }
    return message;
}

} // namespace goldcrestwell
