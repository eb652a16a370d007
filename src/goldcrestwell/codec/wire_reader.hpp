#ifndef GOLDCRESTWELL_CODEC_WIRE_READER_HPP
#define GOLDCRESTWELL_CODEC_WIRE_READER_HPP

#include "goldcrestwell/codec/codec_reason.hpp"
#include "goldcrestwell/codec/wire_fields.hpp"
#include "goldcrestwell/codec/wire_valid.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <msgpack.hpp>

#include <concepts>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace goldcrestwell::internal {

/** @brief Reads messages from msgpack values and checks every range; the counterpart of `wire_writer`. */
class wire_reader {
public:
    /** @brief Pointer to an element of an array. */
    using element = const msgpack::object*;

    /** @return The reason of the last failed read. */
    [[nodiscard]] codec_reason reason() const noexcept { return reason_; }

    /**
     * @brief Reads the head of a body `[version, kind, fields...]`.
     * @return The kind, or nothing if the head is unusable.
     */
    [[nodiscard]] std::optional<std::uint64_t> read_head(const msgpack::object& body) {
        if (!is_array(body)) {
            return std::nullopt;
        }
        if (body.via.array.size < 2) {
            fail(codec_reason::truncated);
            return std::nullopt;
        }
        std::uint64_t version{};
        std::uint64_t kind{};
        if (!read(body.via.array.ptr[0], version) || !read(body.via.array.ptr[1], kind)) {
            return std::nullopt;
        }
        if (version != wire_version) {
            fail(codec_reason::unknown_version);
            return std::nullopt;
        }
        return kind;
    }

    /** @brief Reads the fields of an array, after `skip` elements, into a struct. */
    template <typename T>
    [[nodiscard]] bool read_struct(const msgpack::object& from, const std::uint32_t skip, T& to) {
        auto fields = fields_of(to);
        return read_fields(from, skip, fields) && check(to);
    }

    /** @brief Reads the alternative number `kind` from an array, after `skip` elements. */
    template <typename... Alternatives>
    [[nodiscard]] bool read_alternative(const msgpack::object& from, const std::uint32_t skip, const std::uint64_t kind,
                                        std::variant<Alternatives...>& to) {
        std::uint64_t index = 0;
        bool read_one = false;
        const bool known =
            ((index++ == kind && ((read_one = read_struct(from, skip, to.template emplace<Alternatives>())), true)) ||
             ...);
        return known ? read_one : fail(codec_reason::unknown_kind);
    }

    [[nodiscard]] bool read(const msgpack::object& from, bool& to) {
        if (from.type != msgpack::type::BOOLEAN) {
            return fail(codec_reason::wrong_type);
        }
        to = from.via.boolean;
        return true;
    }
    template <std::unsigned_integral Integer>
    [[nodiscard]] bool read(const msgpack::object& from, Integer& to) {
        if (from.type != msgpack::type::POSITIVE_INTEGER) {
            return fail(codec_reason::wrong_type);
        }
        if (from.via.u64 > std::numeric_limits<Integer>::max()) {
            return fail(codec_reason::out_of_range);
        }
        to = static_cast<Integer>(from.via.u64);
        return true;
    }
    template <typename Enum>
    requires std::is_enum_v<Enum>
    [[nodiscard]] bool read(const msgpack::object& from, Enum& to) {
        std::uint64_t number{};
        if (!read(from, number)) {
            return false;
        }
        if (number >= enumerator_count<Enum>) {
            return fail(codec_reason::out_of_range);
        }
        to = static_cast<Enum>(number);
        return true;
    }
    [[nodiscard]] bool read(const msgpack::object& from, node_id& to) {
        std::uint64_t number{};
        if (!read(from, number)) {
            return false;
        }
        to = node_id{number};
        return check(to);
    }
    [[nodiscard]] bool read(const msgpack::object& from, std::chrono::milliseconds& to) {
        return read_milliseconds(from, max_wire_duration, to);
    }
    [[nodiscard]] bool read(const msgpack::object& from, wall_time& to) {
        std::chrono::milliseconds since_epoch{};
        if (!read_milliseconds(from, max_wire_time, since_epoch)) {
            return false;
        }
        to = wall_time{since_epoch};
        return true;
    }
    template <typename Tag, typename Value>
    [[nodiscard]] bool read(const msgpack::object& from, tagged_value<Tag, Value>& to) {
        Value number{};
        if (!read(from, number)) {
            return false;
        }
        to = tagged_value<Tag, Value>{number};
        return check(to);
    }
    template <typename Tag>
    [[nodiscard]] bool read(const msgpack::object& from, tagged_string<Tag>& to) {
        if (from.type != msgpack::type::STR) {
            return fail(codec_reason::wrong_type);
        }
        if (from.via.str.size > name_limit<tagged_string<Tag>>) {
            return fail(codec_reason::out_of_range);
        }
        to.value.assign(from.via.str.ptr, from.via.str.size);
        return true;
    }
    [[nodiscard]] bool read(const msgpack::object& from, std::string& to) {
        if (from.type != msgpack::type::BIN) {
            return fail(codec_reason::wrong_type);
        }
        to.assign(from.via.bin.ptr, from.via.bin.size);
        return true;
    }
    [[nodiscard]] bool read(const msgpack::object& from, message_body& to) {
        std::string bytes;
        if (!read(from, bytes)) {
            return false;
        }
        to = message_body{std::move(bytes)};
        return true;
    }
    template <typename T>
    [[nodiscard]] bool read(const msgpack::object& from, std::vector<T>& to) {
        if (!is_array(from)) {
            return false;
        }
        if (from.via.array.size > list_limit<T>) {
            return fail(codec_reason::out_of_range);
        }
        to.clear();
        for (std::uint32_t index = 0; index < from.via.array.size; ++index) {
            if (!read(from.via.array.ptr[index], to.emplace_back())) {
                return false;
            }
        }
        return true;
    }
    template <typename T>
    [[nodiscard]] bool read(const msgpack::object& from, std::optional<T>& to) {
        to.reset();
        return from.type == msgpack::type::NIL || read(from, to.emplace());
    }
    template <typename... Alternatives>
    [[nodiscard]] bool read(const msgpack::object& from, std::variant<Alternatives...>& to) {
        if (!is_array(from)) {
            return false;
        }
        if (from.via.array.size == 0) {
            return fail(codec_reason::truncated);
        }
        std::uint64_t kind{};
        return read(from.via.array.ptr[0], kind) && read_alternative(from, 1, kind, to);
    }
    // Buckets must be in ascending order, so that each histogram has only one encoding.
    [[nodiscard]] bool read(const msgpack::object& from, latency_histogram& to) {
        if (!is_array(from)) {
            return false;
        }
        if (from.via.array.size % 2 != 0) {
            return fail(codec_reason::out_of_range);
        }
        to.fill(0);
        std::uint64_t next = 0;
        for (std::uint32_t index = 0; index < from.via.array.size; index += 2) {
            std::uint64_t bucket{};
            std::uint32_t calls{};
            if (!read(from.via.array.ptr[index], bucket) || !read(from.via.array.ptr[index + 1], calls)) {
                return false;
            }
            if (bucket < next || bucket >= to.size() || calls == 0) {
                return fail(codec_reason::out_of_range);
            }
            to[bucket] = calls;
            next = bucket + 1;
        }
        return true;
    }
    [[nodiscard]] bool read(const msgpack::object& from, member& to) {
        std::uint64_t incarnation_delta{};
        auto fields =
            std::tie(to.id, to.start_incarnation, incarnation_delta, to.status, to.data_centre, to.region, to.upstream);
        if (!read_fields(from, 0, fields)) {
            return false;
        }
        to.incarnation = incarnation{to.start_incarnation.value() + incarnation_delta};
        return check(to);
    }
    template <typename T>
    requires std::is_class_v<T>
    [[nodiscard]] bool read(const msgpack::object& from, T& to) { return read_struct(from, 0, to); }

private:
    bool fail(const codec_reason reason) noexcept {
        reason_ = reason;
        return false;
    }
    template <typename T>
    bool check(const T& value) noexcept {
        return is_valid(value) || fail(codec_reason::out_of_range);
    }
    bool is_array(const msgpack::object& from) noexcept {
        return from.type == msgpack::type::ARRAY || fail(codec_reason::wrong_type);
    }
    bool read_milliseconds(const msgpack::object& from, const std::chrono::milliseconds limit,
                           std::chrono::milliseconds& to) {
        std::uint64_t number{};
        if (!read(from, number)) {
            return false;
        }
        if (number > static_cast<std::uint64_t>(limit.count())) {
            return fail(codec_reason::out_of_range);
        }
        to = std::chrono::milliseconds{static_cast<std::chrono::milliseconds::rep>(number)};
        return true;
    }
    template <typename Fields>
    bool read_fields(const msgpack::object& from, const std::uint32_t skip, Fields& fields) {
        constexpr auto count = static_cast<std::uint32_t>(std::tuple_size_v<Fields>);
        if (!is_array(from)) {
            return false;
        }
        if (from.via.array.size != skip + count) {
            return fail(from.via.array.size < skip + count ? codec_reason::truncated : codec_reason::malformed);
        }
        [[maybe_unused]] element next = from.via.array.ptr + skip;
        return std::apply([&](auto&... field) { return (read(*next++, field) && ...); }, fields);
    }

    codec_reason reason_{codec_reason::none};
};

} // namespace goldcrestwell::internal

#endif
