#include "goldcrestwell/platform/operator_codec.hpp"

#include "goldcrestwell/codec/json_value.hpp"
#include "goldcrestwell/platform/entry_fields.hpp"
#include "goldcrestwell/platform/names.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace goldcrestwell {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::array<std::pair<rollout_phase, std::string_view>, 3> phase_names{
    {{rollout_phase::running, "running"},
     {rollout_phase::completed, "completed"},
     {rollout_phase::rolled_back, "rolled_back"}}};

std::string to_lower_case(std::string text) {
    std::ranges::transform(text, text.begin(),
                           [](const unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

milliseconds milliseconds_or_zero(const json& object, const char* key) {
    const auto found = object.find(key);
    return found == object.end() ? milliseconds{} : to_duration(*found, milliseconds{1});
}

template <std::unsigned_integral Integer>
Integer integer_or(const json& object, const char* key, const Integer fallback) {
    const auto found = object.find(key);
    return found == object.end() ? fallback : to_integer<Integer>(*found);
}

// A route has either a single service or a list of weighted services.
std::vector<weighted_service> to_services(const json& route) {
    std::vector<weighted_service> services;
    if (const auto split = route.find("traffic_split"); split != route.end() && !split->empty()) {
        auto has_weight = false;
        for (const auto& entry : *split) {
            services.push_back(
                {.service = {to_name(entry.at("service"))}, .weight = to_integer<std::uint32_t>(entry.at("weight"))});
            has_weight = has_weight || services.back().weight > 0;
        }
        if (!has_weight) {
            throw json_value_error{"a weight above zero expected"};
        }
        return services;
    }
    services.push_back({.service = {to_name(route.at("service"))}, .weight = 1});
    return services;
}

route_config to_route_config(const std::string& name, const json& route) {
    const auto kind = route.at("route_kind").get<std::string>();
    auto prefix = route.at("path_prefix").get<std::string>();
    if (!is_name(name) || !prefix.starts_with('/')) {
        throw json_value_error{"name of a route and a path prefix with a slash expected"};
    }
    return {.name = {name},
            .host = to_lower_case(to_name(route.at("host"))),
            .prefix = std::move(prefix),
            .services = to_services(route),
            // Downloads can be repeated like other idempotent requests; unknown kinds must not be repeated.
            .idempotent = kind == "idempotent" || kind == "download",
            .timeout = milliseconds_or_zero(route, "timeout_ms"),
            .objective = milliseconds_or_zero(route, "target_latency_ms"),
            .max_attempts = integer_or(route, "max_attempts", 0U),
            .priority = integer_or(route, "priority", 0U)};
}

caller_limits to_caller_limits(const json& limits) {
    caller_limits result;
    result.max_header_bytes = integer_or(limits, "max_header_bytes", result.max_header_bytes);
    result.max_body_bytes = integer_or(limits, "max_body_bytes", result.max_body_bytes);
    if (const auto header = milliseconds_or_zero(limits, "header_timeout_ms"); header > milliseconds{}) {
        result.header_timeout = header;
    }
    if (const auto idle = milliseconds_or_zero(limits, "idle_timeout_ms"); idle > milliseconds{}) {
        result.idle_timeout = idle;
    }
    return result;
}

routing_config to_routing_config(const json& document) {
    routing_config config{.version = to_integer<std::uint64_t>(document.at("version"))};
    const auto& services = document.at("services");
    const auto is_defined = [&services](const weighted_service& part) {
        return services.contains(part.service.value);
    };
    for (const auto& [name, route] : document.at("routes").items()) {
        config.routes.push_back(to_route_config(name, route));
        if (!std::ranges::all_of(config.routes.back().services, is_defined)) {
            throw json_value_error{"services of the configuration expected"};
        }
    }
    for (const auto& [name, service] : services.items()) {
        config.services.push_back({.name = {name},
                                   .health_path = service.value("health_path", ""),
                                   .max_connections = integer_or(service, "max_connections", 0U)});
    }
    if (const auto limits = document.find("limits"); limits != document.end()) {
        config.limits = to_caller_limits(*limits);
    }
    return config;
}

// The key of an order and of a state names the service too.
std::string to_service_of_rollout(const std::string_view key, const json& document) {
    auto service = to_name(document.at("service"));
    if (key.substr(platform_names::rollout_key_prefix.size()) != service) {
        throw json_value_error{"service of the key expected"};
    }
    return service;
}

rollout_request to_rollout_request(const std::string_view key, const json& document) {
    return {.service = {to_service_of_rollout(key, document)},
            .target = {to_name(document.at("target_version"))},
            // Despite its name, `ramp_s` is the time within which the whole rollout is to be completed.
            .duration = to_duration(document.at("ramp_s"), std::chrono::seconds{1})};
}

} // namespace

std::optional<operator_document> decode_operator_record(const operator_record& record) {
    const auto is_config = record.key == platform_names::config_key;
    if (!is_config && !record.key.starts_with(platform_names::rollout_key_prefix)) {
        return std::nullopt;
    }
    const auto document = parse_json(record.payload);
    if (!document) {
        return std::nullopt;
    }
    try {
        return is_config ? operator_document{to_routing_config(*document)} : to_rollout_request(record.key, *document);
    } catch (const json::exception&) {
        return std::nullopt;
    } catch (const json_value_error&) {
        return std::nullopt;
    }
}

std::optional<rollout_status> decode_status(const operator_record& record) {
    const auto document =
        record.key.starts_with(platform_names::rollout_key_prefix) ? parse_json(record.payload) : std::optional<json>{};
    if (!document) {
        return std::nullopt;
    }
    try {
        const auto state = document->at("state").get<std::string>();
        const auto* const phase = std::ranges::find(phase_names, state, &decltype(phase_names)::value_type::second);
        if (phase == phase_names.end()) {
            return std::nullopt;
        }
        return rollout_status{.service = {to_service_of_rollout(record.key, *document)},
                              .target = {to_name(document->at("target_version"))},
                              .phase = phase->first};
    } catch (const json::exception&) {
        return std::nullopt;
    } catch (const json_value_error&) {
        return std::nullopt;
    }
}

operator_record encode_status(const rollout_status& status) {
    const auto* const phase = std::ranges::find(phase_names, status.phase, &decltype(phase_names)::value_type::first);
    const json document{
        {"service", status.service.value}, {"state", phase->second}, {"target_version", status.target.value}};
    return {.key = std::string{platform_names::rollout_key_prefix} + status.service.value, .payload = document.dump()};
}

} // namespace goldcrestwell
