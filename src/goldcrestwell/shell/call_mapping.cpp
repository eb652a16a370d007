#include "goldcrestwell/shell/call_mapping.hpp"

#include "goldcrestwell/shell/http_headers.hpp"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

namespace goldcrestwell {

namespace {

constexpr std::uint32_t status_not_run = 503;
constexpr std::uint32_t status_unknown = 504;
constexpr std::uint32_t status_bad_request = 400;
constexpr std::uint32_t status_too_large = 413;
constexpr std::uint32_t status_no_route = 404;
constexpr std::chrono::milliseconds max_timeout = std::chrono::hours{1};
constexpr std::uint32_t max_hops_value = 1000;

std::optional<std::uint32_t> parse_number(const std::string_view text, const std::uint32_t limit) {
    std::uint32_t number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() || number > limit) {
        return std::nullopt;
    }
    return number;
}

std::uint32_t refusal_status(const call_refusal& refusal) {
    if (refusal.state != run_state::not_run) {
        return status_unknown;
    }
    switch (refusal.reason) {
    case refusal_reason::bad_request:
        return status_bad_request;
    case refusal_reason::request_too_large:
        return status_too_large;
    case refusal_reason::no_route:
        return status_no_route;
    default:
        return status_not_run;
    }
}

http_response refusal_response(const call_refusal& refusal) {
    const std::string outcome{refusal.state == run_state::not_run ? "not-run" : "unknown"};
    const std::string reason{to_string(refusal.reason)};
    return {.status = refusal_status(refusal),
            .headers = {{.name = std::string{outcome_header}, .value = outcome},
                        {.name = std::string{reason_header}, .value = reason},
                        {.name = "Content-Type", .value = "text/plain"}},
            .body = outcome + ": " + reason + '\n'};
}

bool is_system_header(const http_header& header) {
    return same_header_name(header.name, timeout_header) || same_header_name(header.name, hops_header);
}

} // namespace

std::optional<call_request> to_call(const http_exchange& exchange, const std::chrono::milliseconds default_timeout) {
    call_request call{.method = exchange.method(),
                      .target = exchange.target(),
                      .headers = exchange.headers(),
                      .body = exchange.body(),
                      .timeout = default_timeout};
    if (call.method.empty() || call.target.empty() || call.target.front() != '/') {
        return std::nullopt;
    }
    if (const auto text = find_header(call.headers, timeout_header)) {
        const auto timeout = parse_number(*text, static_cast<std::uint32_t>(max_timeout.count()));
        if (!timeout) {
            return std::nullopt;
        }
        call.timeout = std::chrono::milliseconds{*timeout};
    }
    if (const auto text = find_header(call.headers, hops_header)) {
        const auto hops = parse_number(*text, max_hops_value);
        if (!hops) {
            return std::nullopt;
        }
        call.hops = *hops;
    }
    std::erase_if(call.headers, is_system_header);
    return call;
}

http_response to_http(const call_result& result) {
    if (const auto* refusal = std::get_if<call_refusal>(&result)) {
        return refusal_response(*refusal);
    }
    return std::get<http_response>(result);
}

std::vector<http_header> upstream_headers(const call_request& call, const std::chrono::milliseconds timeout) {
    auto headers = call.headers;
    headers.push_back({.name = std::string{timeout_header}, .value = std::to_string(timeout.count())});
    headers.push_back({.name = std::string{hops_header}, .value = std::to_string(call.hops)});
    return headers;
}

} // namespace goldcrestwell
