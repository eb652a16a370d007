#ifndef GOLDCRESTWELL_CODEC_WIRE_WRITER_HPP
#define GOLDCRESTWELL_CODEC_WIRE_WRITER_HPP

#include "goldcrestwell/codec/wire_fields.hpp"
#include "goldcrestwell/codec/wire_limits.hpp"
#include "goldcrestwell/core/common/tagged_string.hpp"
#include "goldcrestwell/core/common/tagged_value.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace goldcrestwell::internal {

/** @brief Writes messages as msgpack; a struct is an array of its fields. */
class wire_writer {
public:
    /** @brief Writes the body `[version, kind, fields...]`. */
    template <typename T>
    void write_body(const std::uint64_t kind, const T& value) {
        const auto fields = fields_of(value);
        packer_.pack_array(static_cast<std::uint32_t>(2 + std::tuple_size_v<decltype(fields)>));
        write(wire_version);
        write(kind);
        write_fields(fields);
    }

    /** @return The bytes written; the writer is empty afterwards. */
    [[nodiscard]] std::string take() { return std::move(buffer_.bytes); }

private:
    struct byte_buffer {
        static constexpr std::size_t spare_bytes = 256;
        std::string bytes;
        // Appending a large body grows the string to exactly that size. Without spare capacity for the fields after it,
        // the next byte would copy the whole body again.
        void write(const char* data, const std::size_t size) {
            if (size > spare_bytes && bytes.capacity() - bytes.size() < size) {
                bytes.reserve(bytes.size() + size + spare_bytes);
            }
            bytes.append(data, size);
        }
    };

    void write(const bool value) { value ? packer_.pack_true() : packer_.pack_false(); }
    template <std::unsigned_integral Integer>
    void write(const Integer value) {
        packer_.pack_uint64(value);
    }
    template <typename Enum>
    requires std::is_enum_v<Enum>
    void write(const Enum value) { packer_.pack_uint64(static_cast<std::uint64_t>(value)); }
    void write(const node_id value) { packer_.pack_uint64(value.value()); }
    void write(const std::chrono::milliseconds value) { packer_.pack_int64(value.count()); }
    void write(const wall_time value) { packer_.pack_int64(value.time_since_epoch().count()); }
    template <typename Tag, typename Value>
    void write(const tagged_value<Tag, Value> value) {
        packer_.pack_uint64(value.value());
    }
    template <typename Tag>
    void write(const tagged_string<Tag>& name) {
        const auto size = static_cast<std::uint32_t>(name.value.size());
        packer_.pack_str(size).pack_str_body(name.value.data(), size);
    }
    // Text of HTTP messages is written as bytes because its character set is unknown.
    void write(const std::string& bytes) {
        const auto size = static_cast<std::uint32_t>(bytes.size());
        packer_.pack_bin(size).pack_bin_body(bytes.data(), size);
    }
    void write(const message_body& body) { write(body.str()); }
    template <typename T>
    void write(const std::vector<T>& list) {
        packer_.pack_array(static_cast<std::uint32_t>(list.size()));
        for (const auto& element : list) {
            write(element);
        }
    }
    template <typename T>
    void write(const std::optional<T>& value) {
        if (value) {
            write(*value);
        } else {
            packer_.pack_nil();
        }
    }
    template <typename... Alternatives>
    void write(const std::variant<Alternatives...>& value) {
        std::visit(
            [this, kind = value.index()](const auto& alternative) {
                const auto fields = fields_of(alternative);
                packer_.pack_array(static_cast<std::uint32_t>(1 + std::tuple_size_v<decltype(fields)>));
                write(std::uint64_t{kind});
                write_fields(fields);
            },
            value);
    }
    // Few buckets contain calls, so only those are written, as pairs of bucket and count.
    void write(const latency_histogram& histogram) {
        const auto used = histogram.size() - static_cast<std::size_t>(std::ranges::count(histogram, 0U));
        packer_.pack_array(static_cast<std::uint32_t>(2 * used));
        for (std::size_t bucket = 0; bucket < histogram.size(); ++bucket) {
            if (histogram[bucket] != 0) {
                write(std::uint64_t{bucket});
                write(histogram[bucket]);
            }
        }
    }
    // The incarnation is written as its difference from the start incarnation, which is nearly always below 128: 1 byte
    // instead of 9.
    void write(const member& value) {
        const std::uint64_t incarnation_delta = value.incarnation.value() - value.start_incarnation.value();
        const auto fields = std::tie(value.id, value.start_incarnation, incarnation_delta, value.status,
                                     value.data_centre, value.region, value.upstream);
        packer_.pack_array(static_cast<std::uint32_t>(std::tuple_size_v<decltype(fields)>));
        write_fields(fields);
    }
    template <typename T>
    requires std::is_class_v<T>
    void write(const T& value) {
        const auto fields = fields_of(value);
        packer_.pack_array(static_cast<std::uint32_t>(std::tuple_size_v<decltype(fields)>));
        write_fields(fields);
    }
    template <typename Fields>
    void write_fields(const Fields& fields) {
        std::apply([this](const auto&... field) { (write(field), ...); }, fields);
    }

    byte_buffer buffer_;
    msgpack::packer<byte_buffer> packer_{buffer_};
};

} // namespace goldcrestwell::internal

#endif
