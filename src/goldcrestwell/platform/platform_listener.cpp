#include "goldcrestwell/platform/platform_listener.hpp"

#include "goldcrestwell/platform/announcement_codec.hpp"
#include "goldcrestwell/platform/entry_fields.hpp"
#include "goldcrestwell/platform/names.hpp"

#include <cstdint>
#include <optional>
#include <utility>

namespace goldcrestwell {

namespace {

// An announcement has nine fields, the longest of which are names.
constexpr std::size_t max_announcement_bytes = 16'384;
constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_bad_request = 400;
constexpr std::uint32_t status_not_found = 404;
constexpr std::uint32_t status_unavailable = 503;

http_response empty_json_response(const std::uint32_t status) {
    return {.status = status, .headers = {{.name = "Content-Type", .value = "application/json"}}, .body = "{}"};
}

} // namespace

platform_listener::platform_listener(event_loop& loop, platform_listener_options options)
    : options_{std::move(options)}, ready_server_{loop,
                                                  {.address = options_.ready_endpoint.address,
                                                   .port = options_.ready_endpoint.port,
                                                   .max_connections = options_.max_connections,
                                                   .max_body_bytes = max_announcement_bytes,
                                                   .memory = options_.memory,
                                                   .on_request =
                                                       [this](const exchange_pointer& exchange) {
                                                           serve_ready(exchange);
                                                       }}},
      announcement_server_{loop,
                           {.address = options_.announcement_endpoint.address,
                            .port = options_.announcement_endpoint.port,
                            .max_connections = options_.max_connections,
                            .max_body_bytes = max_announcement_bytes,
                            .memory = options_.memory,
                            .on_request = [this](const exchange_pointer& exchange) {
                                serve_announcement(exchange);
                            }}} {}

bool platform_listener::start() {
    return announcement_server_.start() && ready_server_.start();
}

void platform_listener::serve_ready(const exchange_pointer& exchange) const {
    if (exchange->path() != platform_names::ready_path) {
        exchange->reply({.status = status_not_found});
        return;
    }
    exchange->reply({.status = options_.is_ready() ? status_ok : status_unavailable});
}

void platform_listener::serve_announcement(const exchange_pointer& exchange) const {
    const auto path = exchange->path();
    if (!path.starts_with(platform_names::instances_path)) {
        exchange->reply(empty_json_response(status_not_found));
        return;
    }
    const auto id = path.substr(platform_names::instances_path.size());
    const auto answer = [exchange](const bool acknowledged) {
        exchange->reply(empty_json_response(acknowledged ? status_ok : status_unavailable));
    };
    if (exchange->method() == "DELETE" && is_upstream_id(id)) {
        options_.on_withdrawal(id, answer);
        return;
    }
    const auto announcement = exchange->method() == "PUT" ? decode_announcement(id, exchange->body()) : std::nullopt;
    if (!announcement) {
        options_.on_invalid_announcement(id);
        exchange->reply(empty_json_response(status_bad_request));
        return;
    }
    options_.on_announcement(*announcement, answer);
}

} // namespace goldcrestwell
