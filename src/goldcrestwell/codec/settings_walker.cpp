#include "goldcrestwell/codec/settings_walker.hpp"

#include <algorithm>
#include <array>

namespace goldcrestwell::internal {

namespace {

constexpr std::size_t max_setting_name_bytes = 64;
constexpr std::size_t max_setting_text_bytes = 1024;
constexpr std::size_t max_endpoint_count = 64;
constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};
constexpr std::string_view name_range = "1 to 64 letters, digits, dots, hyphens or underscores";
constexpr std::string_view address_range = "IPv4 address";
constexpr std::string_view endpoint_range = "IPv4:port";
constexpr std::string_view endpoints_range = "list of at most 64 IPv4:port";

bool is_name(const std::string_view text) {
    const auto allowed = [](const char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
               (character >= '0' && character <= '9') || character == '.' || character == '-' || character == '_';
    };
    return !text.empty() && text.size() <= max_setting_name_bytes && std::ranges::all_of(text, allowed);
}

bool is_address(const std::string& text) {
    return text.find(':') == std::string::npos && parse_node_id(text + ":1").has_value();
}

} // namespace

void settings_walker::enter(const std::string_view group) {
    group_ = group;
    if (group.empty()) {
        object_ = &document_;
        return;
    }
    known_keys_.emplace(group);
    const auto found = document_.find(group);
    object_ = found != document_.end() && found->is_object() ? &*found : nullptr;
    if (found != document_.end() && object_ == nullptr) {
        fail(group_, settings_reason::wrong_type, "object");
    }
}

std::string settings_walker::path(const std::string_view key) const {
    std::string full_path{group_};
    if (!full_path.empty()) {
        full_path += '.';
    }
    return full_path.append(key);
}

void settings_walker::fail(std::string key, const settings_reason reason, const std::string_view expected) {
    faults_.push_back({.key = std::move(key), .reason = reason, .expected = std::string{expected}});
}

const nlohmann::json* settings_walker::find(const std::string_view key, const presence key_presence,
                                            const setting_description& description) {
    descriptions_.push_back(description);
    known_keys_.insert(description.key);
    if (object_ != nullptr) {
        if (const auto found = object_->find(key); found != object_->end()) {
            return &*found;
        }
    }
    if (key_presence == presence::required) {
        fail(description.key, settings_reason::missing, description.range);
    }
    return nullptr;
}

const std::string* settings_walker::read_text(const std::string_view key, const std::string_view range,
                                              const std::string& fallback, const presence key_presence) {
    const bool required = key_presence == presence::required;
    const auto* value = find(key, key_presence,
                             {.key = path(key),
                              .unit = "text",
                              .fallback = required ? "" : "\"" + fallback + "\"",
                              .range = std::string{range}});
    if (value == nullptr) {
        return nullptr;
    }
    if (!value->is_string()) {
        fail(path(key), settings_reason::wrong_type, range);
        return nullptr;
    }
    return value->get_ptr<const std::string*>();
}

std::optional<std::uint64_t> settings_walker::read_number(const std::string_view key, const std::string_view unit,
                                                          const std::uint64_t min_value, const std::uint64_t max_value,
                                                          const std::string& fallback, const presence key_presence) {
    std::string range = std::to_string(min_value);
    range.append(" to ").append(std::to_string(max_value));
    const auto* value = find(key, key_presence,
                             {.key = path(key),
                              .unit = std::string{unit},
                              .fallback = key_presence == presence::required ? "" : fallback,
                              .range = range});
    if (value == nullptr) {
        return std::nullopt;
    }
    if (rounds_fractions_ && value->is_number_float()) {
        const auto number = value->get<double>();
        if (!(number >= static_cast<double>(min_value) && number <= static_cast<double>(max_value))) {
            fail(path(key), settings_reason::out_of_range, range);
            return std::nullopt;
        }
        return static_cast<std::uint64_t>(number);
    }
    if (!value->is_number_integer()) {
        fail(path(key), settings_reason::wrong_type, range);
        return std::nullopt;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < min_value ||
        value->get<std::uint64_t>() > max_value) {
        fail(path(key), settings_reason::out_of_range, range);
        return std::nullopt;
    }
    return value->get<std::uint64_t>();
}

void settings_walker::limits(resource_settings& to) {
    enter("limits");
    number("memory_mb", "MB", min_memory_mb, max_memory_mb, to.memory_mb);
    number("max_fds", "descriptors", min_descriptors, max_descriptors, to.max_fds);
}

void settings_walker::name(const std::string_view key, std::string& to, const presence key_presence) {
    if (const auto* value = read_text(key, name_range, to, key_presence)) {
        if (!is_name(*value)) {
            fail(path(key), settings_reason::not_a_name, name_range);
        }
        to = *value;
    }
}

void settings_walker::text(const std::string_view key, std::string& to) {
    constexpr std::string_view range = "at most 1024 bytes";
    if (const auto* value = read_text(key, range, to, presence::optional)) {
        if (value->size() > max_setting_text_bytes) {
            fail(path(key), settings_reason::out_of_range, range);
        }
        to = *value;
    }
}

void settings_walker::address(const std::string_view key, std::string& to, const presence key_presence) {
    if (const auto* value = read_text(key, address_range, to, key_presence)) {
        if (!is_address(*value)) {
            fail(path(key), settings_reason::not_an_address, address_range);
        }
        to = *value;
    }
}

void settings_walker::endpoint(const std::string_view key, node_id& to) {
    if (const auto* value = read_text(key, endpoint_range, {}, presence::required)) {
        const auto parsed = parse_node_id(*value);
        if (!parsed) {
            fail(path(key), settings_reason::not_an_endpoint, endpoint_range);
        }
        to = parsed.value_or(node_id{});
    }
}

void settings_walker::endpoints(const std::string_view key, std::vector<node_id>& to) {
    const auto* value =
        find(key, presence::optional,
             {.key = path(key), .unit = "list", .fallback = "[]", .range = std::string{endpoints_range}});
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        fail(path(key), settings_reason::wrong_type, endpoints_range);
        return;
    }
    if (value->size() > max_endpoint_count) {
        fail(path(key), settings_reason::out_of_range, endpoints_range);
    }
    for (std::size_t index = 0; index < value->size(); ++index) {
        const auto& element = (*value)[index];
        const auto parsed = element.is_string() ? parse_node_id(*element.get_ptr<const std::string*>()) : std::nullopt;
        if (parsed) {
            to.push_back(*parsed);
        } else {
            fail(path(key) + "[" + std::to_string(index) + "]", settings_reason::not_an_endpoint, endpoint_range);
        }
    }
}

void settings_walker::level(const std::string_view key, log_level& to) {
    constexpr std::string_view range = "debug, info, warning or error";
    const std::string fallback{level_names[static_cast<std::size_t>(to)]};
    if (const auto* value = read_text(key, range, fallback, presence::optional)) {
        const auto found = std::ranges::find(level_names, *value);
        if (found == level_names.end()) {
            fail(path(key), settings_reason::not_a_level, range);
            return;
        }
        to = static_cast<log_level>(found - level_names.begin());
    }
}

void settings_walker::require(const bool condition, const std::string_view key, const std::string_view expected) {
    if (!condition) {
        fail(std::string{key}, settings_reason::contradicts, expected);
    }
}

void settings_walker::report_unknown() {
    report_unknown_in(document_, "");
}

void settings_walker::report_unknown_in(const nlohmann::json& object, const std::string& prefix) {
    for (const auto& [key, value] : object.items()) {
        const std::string full_path = prefix + key;
        if (!known_keys_.contains(full_path)) {
            fail(full_path, settings_reason::unknown_key, "");
        } else if (value.is_object() && prefix.empty()) {
            report_unknown_in(value, full_path + ".");
        }
    }
}

} // namespace goldcrestwell::internal
