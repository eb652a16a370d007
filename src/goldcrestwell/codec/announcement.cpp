#include "goldcrestwell/codec/announcement.hpp"

#include "goldcrestwell/codec/wire_limits.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace goldcrestwell {

namespace {

using json = nlohmann::json;

constexpr std::uint32_t max_slots = 100'000;
constexpr std::array<std::string_view, 6> known_keys{"service", "upstream_version", "address",
                                                     "slots",   "connections",      "load"};

/** @brief Reads the fields of a JSON object and keeps the first failure. */
class field_reader {
public:
    explicit field_reader(const json& object) : object_{object} {}

    [[nodiscard]] std::string name(const char* key) {
        const auto* field = find(key);
        if (field == nullptr) {
            return {};
        }
        if (!field->is_string()) {
            return fail<std::string>(announcement_reason::wrong_type);
        }
        auto text = field->get<std::string>();
        if (text.empty() || text.size() > max_name_bytes) {
            return fail<std::string>(announcement_reason::out_of_range);
        }
        return text;
    }

    [[nodiscard]] std::uint32_t number(const char* key, const std::uint32_t min_value) {
        const auto* field = find(key);
        if (field == nullptr) {
            return 0;
        }
        if (!field->is_number_unsigned()) {
            return fail<std::uint32_t>(announcement_reason::wrong_type);
        }
        const auto value = field->get<std::uint64_t>();
        if (value < min_value || value > max_slots) {
            return fail<std::uint32_t>(announcement_reason::out_of_range);
        }
        return static_cast<std::uint32_t>(value);
    }

    template <typename Value>
    Value fail(const announcement_reason reason) {
        reason_ = reason_ == announcement_reason::none ? reason : reason_;
        return Value{};
    }

    [[nodiscard]] announcement_reason reason() const noexcept { return reason_; }

private:
    [[nodiscard]] const json* find(const char* key) {
        const auto found = object_.find(key);
        return found == object_.end() ? fail<const json*>(announcement_reason::missing_key) : &*found;
    }

    const json& object_;
    announcement_reason reason_{announcement_reason::none};
};

bool has_unknown_key(const json& object) {
    return std::any_of(object.items().begin(), object.items().end(), [](const auto& item) {
        return std::find(known_keys.begin(), known_keys.end(), item.key()) == known_keys.end();
    });
}

} // namespace

std::string_view to_string(const announcement_reason value) noexcept {
    switch (value) {
    case announcement_reason::none:
        return "none";
    case announcement_reason::not_json:
        return "not_json";
    case announcement_reason::missing_key:
        return "missing_key";
    case announcement_reason::unknown_key:
        return "unknown_key";
    case announcement_reason::wrong_type:
        return "wrong_type";
    case announcement_reason::out_of_range:
        return "out_of_range";
    }
    return "invalid";
}

std::optional<announcement> announcement_reader::read(const std::string_view text) {
    const auto object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        reason_ = announcement_reason::not_json;
        return std::nullopt;
    }
    field_reader fields{object};
    announcement result{.upstream = {.service = {fields.name("service")},
                                     .version = {fields.name("upstream_version")},
                                     .slots = fields.number("slots", 1),
                                     .connections = fields.number("connections", 1)},
                        .load = object.contains("load") ? fields.number("load", 0) : 0};
    const auto address = parse_node_id(fields.name("address"));
    reason_ = fields.reason();
    if (reason_ == announcement_reason::none && !address) {
        reason_ = announcement_reason::out_of_range;
    }
    if (reason_ == announcement_reason::none && has_unknown_key(object)) {
        reason_ = announcement_reason::unknown_key;
    }
    if (reason_ != announcement_reason::none) {
        return std::nullopt;
    }
    result.address = *address;
    return result;
}

} // namespace goldcrestwell
