#include "goldcrestwell/platform/operator_codec.hpp"

#include "goldcrestwell/platform/names.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace goldcrestwell {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::array<std::pair<rollout_phase, std::string_view>, 3> phases{
    {{rollout_phase::running, "running"},
     {rollout_phase::completed, "completed"},
     {rollout_phase::rolled_back, "rolled_back"}}};

std::string lower(std::string text) {
    std::ranges::transform(text, text.begin(),
                           [](const unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

milliseconds to_milliseconds(const json& value) {
    return milliseconds{static_cast<milliseconds::rep>(value.get<double>())};
}

milliseconds optional_milliseconds(const json& object, const char* key) {
    const auto found = object.find(key);
    return found == object.end() ? milliseconds{} : to_milliseconds(*found);
}

// A route names either one service or a list of services with weights.
std::vector<weighted_service> to_services(const json& route) {
    std::vector<weighted_service> services;
    if (const auto split = route.find("traffic_split"); split != route.end() && !split->empty()) {
        for (const auto& part : *split) {
            services.push_back(
                {.service = {part.at("service").get<std::string>()}, .weight = part.at("weight").get<std::uint32_t>()});
        }
        return services;
    }
    services.push_back({.service = {route.at("service").get<std::string>()}, .weight = 1});
    return services;
}

route_config to_rule(const std::string& name, const json& route) {
    const auto kind = route.at("route_kind").get<std::string>();
    return {.name = {name},
            .host = lower(route.at("host").get<std::string>()),
            .prefix = route.at("path_prefix").get<std::string>(),
            .services = to_services(route),
            // Downloads may be repeated like other idempotent requests; unknown kinds may not.
            .idempotent = kind == "idempotent" || kind == "download",
            .timeout = optional_milliseconds(route, "timeout_ms"),
            .objective = optional_milliseconds(route, "target_latency_ms"),
            .max_attempts = route.value("max_attempts", 0U),
            .priority = route.value("priority", 0U)};
}

caller_limits to_limits(const json& limits) {
    caller_limits result;
    result.max_header_bytes = limits.value("max_header_bytes", result.max_header_bytes);
    result.max_body_bytes = limits.value("max_body_bytes", result.max_body_bytes);
    if (const auto header = optional_milliseconds(limits, "header_timeout_ms"); header > milliseconds{}) {
        result.header_timeout = header;
    }
    if (const auto idle = optional_milliseconds(limits, "idle_timeout_ms"); idle > milliseconds{}) {
        result.idle_timeout = idle;
    }
    return result;
}

routing_config to_config(const json& document) {
    routing_config config{.version = document.at("version").get<std::uint64_t>()};
    for (const auto& [name, route] : document.at("routes").items()) {
        config.routes.push_back(to_rule(name, route));
    }
    for (const auto& [name, service] : document.at("services").items()) {
        config.services.push_back({.name = {name},
                                   .health_path = service.value("health_path", ""),
                                   .max_connections = service.value("max_connections", 0U)});
    }
    if (const auto limits = document.find("limits"); limits != document.end()) {
        config.limits = to_limits(*limits);
    }
    return config;
}

rollout_request to_order(const json& document) {
    return {.service = {document.at("service").get<std::string>()},
            .target = {document.at("target_version").get<std::string>()},
            // The name says "ramp", but it is the time by which the whole move is to be done.
            .duration = milliseconds{static_cast<milliseconds::rep>(document.at("ramp_s").get<double>() * 1000)}};
}

} // namespace

std::optional<operator_document> decode_operator_record(const operator_record& record) {
    try {
        if (record.key == platform_names::config_key) {
            return to_config(json::parse(record.payload));
        }
        if (record.key.starts_with(platform_names::rollout_key_prefix)) {
            return to_order(json::parse(record.payload));
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<rollout_status> decode_status(const operator_record& record) {
    if (!record.key.starts_with(platform_names::rollout_key_prefix)) {
        return std::nullopt;
    }
    try {
        const auto document = json::parse(record.payload);
        const auto state = document.at("state").get<std::string>();
        const auto* const phase = std::ranges::find(phases, state, &decltype(phases)::value_type::second);
        if (phase == phases.end()) {
            return std::nullopt;
        }
        return rollout_status{.service = {record.key.substr(platform_names::rollout_key_prefix.size())},
                              .target = {document.at("target_version").get<std::string>()},
                              .phase = phase->first};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

operator_record encode_status(const rollout_status& status) {
    const auto* const phase = std::ranges::find(phases, status.phase, &decltype(phases)::value_type::first);
    const json document{
        {"service", status.service.value}, {"state", phase->second}, {"target_version", status.target.value}};
    return {.key = std::string{platform_names::rollout_key_prefix} + status.service.value, .payload = document.dump()};
}

} // namespace goldcrestwell
