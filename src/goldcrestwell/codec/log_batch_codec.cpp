#include "goldcrestwell/codec/log_batch_codec.hpp"

#include "goldcrestwell/codec/record_codec.hpp"
#include "goldcrestwell/codec/wire_limits.hpp"
#include "goldcrestwell/codec/wire_object.hpp"
#include "goldcrestwell/codec/wire_reader.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

class batch_reader {
public:
    [[nodiscard]] std::optional<record_batch> read(const msgpack::object& response, const log_offset after) {
        if (response.type != msgpack::type::MAP) {
            return fail(codec_reason::wrong_type);
        }
        batch_.after = after;
        for (std::uint32_t index = 0; index < response.via.map.size; ++index) {
            if (!read_entry(response.via.map.ptr[index])) {
                return std::nullopt;
            }
        }
        if (seen_entries_ != all_entries_mask) {
            return fail(codec_reason::truncated);
        }
        // The log no longer holds the records between `after` and the first retained one, so the batch does not cover
        // them.
        if (batch_.first_retained) {
            batch_.after = std::max(after, log_offset{batch_.first_retained.value() - 1});
        }
        if (!internal::is_valid(batch_) || batch_.head < batch_.through) {
            return fail(codec_reason::out_of_range);
        }
        return std::move(batch_);
    }

    [[nodiscard]] codec_reason reason() const noexcept { return reason_; }

private:
    static constexpr unsigned all_entries_mask = 0xFU;

    std::nullopt_t fail(const codec_reason reason) noexcept {
        reason_ = reason;
        return std::nullopt;
    }

    bool read_entry(const msgpack::object_kv& entry) {
        if (entry.key.type != msgpack::type::STR) {
            reason_ = codec_reason::wrong_type;
            return false;
        }
        const std::string_view key{entry.key.via.str.ptr, entry.key.via.str.size};
        if (key == "first_retained") {
            return read_offset(entry.val, 1U, batch_.first_retained);
        }
        if (key == "head") {
            return read_offset(entry.val, 2U, batch_.head);
        }
        if (key == "through") {
            return read_offset(entry.val, 4U, batch_.through);
        }
        if (key == "records") {
            seen_entries_ |= 8U;
            return read_records(entry.val);
        }
        return true; // entries that the platform adds later are ignored
    }

    bool read_offset(const msgpack::object& from, const unsigned entry, log_offset& to) {
        seen_entries_ |= entry;
        internal::wire_reader reader;
        if (!reader.read(from, to)) {
            reason_ = reader.reason();
            return false;
        }
        return true;
    }

    bool read_records(const msgpack::object& from) {
        if (from.type != msgpack::type::ARRAY) {
            reason_ = codec_reason::wrong_type;
            return false;
        }
        batch_.records.clear();
        for (std::uint32_t index = 0; index < from.via.array.size; ++index) {
            if (!read_record(from.via.array.ptr[index])) {
                return false;
            }
        }
        return true;
    }

    bool read_record(const msgpack::object& from) {
        if (from.type != msgpack::type::ARRAY || from.via.array.size != 2 ||
            from.via.array.ptr[1].type != msgpack::type::BIN) {
            reason_ = codec_reason::wrong_type;
            return false;
        }
        sequenced_record& record = batch_.records.emplace_back();
        internal::wire_reader reader;
        if (!reader.read(from.via.array.ptr[0], record.offset)) {
            reason_ = reader.reason();
            return false;
        }
        const auto& bytes = from.via.array.ptr[1].via.bin;
        record.record = records_.decode({bytes.ptr, bytes.size}).value_or(unreadable_record{});
        return true;
    }

    record_batch batch_;
    record_decoder records_;
    unsigned seen_entries_{};
    codec_reason reason_{codec_reason::none};
};

} // namespace

std::optional<record_batch> log_batch_decoder::decode(const std::string_view bytes, const log_offset after) {
    const auto parsed = internal::parse_object(bytes, max_log_response_bytes, reason_);
    if (!parsed) {
        return std::nullopt;
    }
    batch_reader reader;
    auto batch = reader.read(parsed->get(), after);
    reason_ = reader.reason();
    return batch;
}

} // namespace goldcrestwell
