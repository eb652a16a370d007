#include "goldcrestwell/codec/datagram_codec.hpp"

#include "goldcrestwell/codec/wire_limits.hpp"
#include "goldcrestwell/codec/wire_object.hpp"
#include "goldcrestwell/codec/wire_reader.hpp"
#include "goldcrestwell/codec/wire_writer.hpp"

namespace goldcrestwell {

std::string encode(const datagram& message) {
    internal::wire_writer writer;
    writer.write_body(static_cast<std::uint64_t>(message.kind), message);
    return writer.take();
}

std::optional<datagram> datagram_decoder::decode(const std::string_view bytes) {
    const auto parsed = internal::parse_object(bytes, max_datagram_bytes, reason_);
    if (!parsed) {
        return std::nullopt;
    }
    internal::wire_reader reader;
    const auto kind = reader.read_head(parsed->get());
    if (kind && *kind >= internal::enumerator_count<datagram_kind>) {
        reason_ = codec_reason::unknown_kind;
        return std::nullopt;
    }
    datagram message;
    if (!kind || !reader.read_struct(parsed->get(), 2, message)) {
        reason_ = reader.reason();
        return std::nullopt;
    }
    message.kind = static_cast<datagram_kind>(*kind);
    return message;
}

} // namespace goldcrestwell
