#include "goldcrestwell/codec/record_codec.hpp"

#include "goldcrestwell/codec/wire_limits.hpp"
#include "goldcrestwell/codec/wire_object.hpp"
#include "goldcrestwell/codec/wire_reader.hpp"
#include "goldcrestwell/codec/wire_writer.hpp"

namespace goldcrestwell {

std::string encode(const log_record& record) {
    if (std::holds_alternative<unreadable_record>(record)) {
        return {};
    }
    internal::wire_writer writer;
    std::visit([&](const auto& alternative) { writer.write_body(record.index(), alternative); }, record);
    return writer.take();
}

std::optional<log_record> record_decoder::decode(const std::string_view bytes) {
    const auto parsed = internal::parse_object(bytes, max_record_bytes, reason_);
    if (!parsed) {
        return std::nullopt;
    }
    internal::wire_reader reader;
    log_record record;
    const auto kind = reader.read_head(parsed->get());
    if (kind == std::uint64_t{0}) {
        reason_ = codec_reason::unknown_kind;
        return std::nullopt;
    }
    if (!kind || !reader.read_alternative(parsed->get(), 2, *kind, record)) {
        reason_ = reader.reason();
        return std::nullopt;
    }
    return record;
}

} // namespace goldcrestwell
