#ifndef GOLDCRESTWELL_TEST_CODEC_RANDOM_MESSAGE_HPP
#define GOLDCRESTWELL_TEST_CODEC_RANDOM_MESSAGE_HPP

#include "goldcrestwell/codec/wire_fields.hpp"
#include "goldcrestwell/codec/wire_valid.hpp"

#include <algorithm>
#include <concepts>
#include <random>
#include <string>
#include <utility>

namespace goldcrestwell::test {

/** @brief Creates messages with random values that a decoder accepts. */
class random_message {
public:
    explicit random_message(const std::uint64_t seed) : engine_{seed} {}

    template <typename T>
    T make() {
        T value{};
        fill(value);
        return value;
    }

    std::uint64_t number(const std::uint64_t limit) {
        return std::uniform_int_distribution<std::uint64_t>{0, limit}(engine_);
    }

    template <typename... Alternatives>
    void set_alternative(std::variant<Alternatives...>& value, const std::size_t index) {
        std::size_t alternative = 0;
        ((alternative++ == index ? fill(value.template emplace<Alternatives>()) : void()), ...);
    }

private:
    // Small and huge numbers are equally likely, so that every msgpack integer width occurs.
    template <std::unsigned_integral Integer>
    void fill(Integer& value) {
        value = static_cast<Integer>(number(std::numeric_limits<Integer>::max()) >> number(sizeof(Integer) * 8 - 1));
    }
    void fill(bool& value) { value = number(1) == 1; }
    template <typename Enum>
    requires std::is_enum_v<Enum>
    void fill(Enum& value) { value = static_cast<Enum>(number(internal::enumerator_count<Enum> - 1)); }
    void fill(node_id& value) {
        value = node_id{static_cast<std::uint32_t>(number(0xFFFFFFFF)), static_cast<std::uint16_t>(1 + number(65534))};
    }
    void fill(std::chrono::milliseconds& value) {
        value = std::chrono::milliseconds{number(static_cast<std::uint64_t>(max_wire_duration.count()))};
    }
    void fill(wall_time& value) {
        value = wall_time{std::chrono::milliseconds{number(static_cast<std::uint64_t>(max_wire_time.count()))}};
    }
    void fill(share& value) { value = share{static_cast<std::uint32_t>(number(full_share.value()))}; }
    template <typename Tag, typename Value>
    void fill(tagged_value<Tag, Value>& value) {
        Value integer{};
        fill(integer);
        value = tagged_value<Tag, Value>{integer};
    }
    void fill(message_body& value) {
        std::string bytes;
        fill(bytes);
        value = message_body{std::move(bytes)};
    }
    void fill(std::string& value) {
        value.resize(1 + number(40));
        std::ranges::generate(value, [this] { return static_cast<char>(' ' + number(200)); });
    }
    template <typename Tag>
    void fill(tagged_string<Tag>& value) {
        fill(value.value);
    }
    template <typename T>
    void fill(std::vector<T>& list) {
        list.resize(number(3));
        for (auto& element : list) {
            fill(element);
        }
    }
    template <typename T>
    void fill(std::optional<T>& value) {
        if (number(1) == 1) {
            fill(value.emplace());
        }
    }
    template <typename... Alternatives>
    void fill(std::variant<Alternatives...>& value) {
        set_alternative(value, number(sizeof...(Alternatives) - 1));
    }
    void fill(latency_histogram& value) {
        for (std::uint64_t remaining = number(6); remaining > 0; --remaining) {
            fill(value[number(value.size() - 1)]);
        }
    }
    void fill(member& value) {
        fill(value.id);
        value.start_incarnation = incarnation{number(1ULL << 41U)};
        value.incarnation = incarnation{value.start_incarnation.value() + number(200)};
        fill(value.status);
        fill(value.data_centre);
        fill(value.region);
        fill(value.upstream);
    }
    void fill(rollout_state& value) {
        fill_fields(value);
        value.stage = static_cast<std::uint8_t>(number(max_rollout_stage));
    }
    void fill(http_response& value) {
        fill_fields(value);
        value.status = static_cast<std::uint32_t>(200 + number(399));
    }
    void fill(evidence_window& value) {
        fill_fields(value);
        value.failures = std::min(value.failures, value.calls);
    }
    void fill(checkpoint_part& value) {
        fill_fields(value);
        value.index = std::min(value.index, std::numeric_limits<std::uint32_t>::max() - 1);
        value.count = std::max(value.count, value.index + 1);
    }
    void fill(record_batch& value) {
        fill_fields(value);
        value.after = log_offset{number(1000)};
        value.through = value.after;
        for (auto& record : value.records) {
            record.offset = log_offset{value.through.value() + 1 + number(100)};
            value.through = record.offset;
        }
    }
    void fill(datagram& value) {
        fill_fields(value);
        fill(value.kind);
    }
    template <typename T>
    requires std::is_class_v<T>
    void fill(T& value) { fill_fields(value); }
    template <typename T>
    void fill_fields(T& value) {
        std::apply([this](auto&... field) { (fill(field), ...); }, internal::fields_of(value));
    }

    std::mt19937_64 engine_;
};

/** @return A random frame message of the alternative with this index. */
inline peer_message random_peer_message(random_message& source, const std::size_t index) {
    peer_message message;
    source.set_alternative(message, index);
    return message;
}

/** @return A random readable log record of the alternative with this index; zero is the first readable one. */
inline log_record random_log_record(random_message& source, const std::size_t index) {
    log_record record;
    source.set_alternative(record, 1 + index);
    return record;
}

} // namespace goldcrestwell::test

#endif
