#include "goldcrestwell/platform/call_codec.hpp"

#include "goldcrestwell/platform/names.hpp"
#include "goldcrestwell/shell/http_headers.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <string>

namespace goldcrestwell {

namespace {

using std::chrono::milliseconds;

// Applies to requests without a deadline: the longest timeout that callers of the platform use.
constexpr milliseconds default_timeout{10'000};
constexpr milliseconds max_timeout = std::chrono::hours{1};

constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_redirect = 300;
constexpr std::uint32_t status_bad_request = 400;
constexpr std::uint32_t status_not_found = 404;
constexpr std::uint32_t status_too_large = 413;
constexpr std::uint32_t status_misdirected = 421;
constexpr std::uint32_t status_bad_gateway = 502;
constexpr std::uint32_t status_unavailable = 503;
constexpr std::uint32_t status_timeout = 504;

std::optional<milliseconds> parse_milliseconds(const std::string_view text) {
    std::int64_t number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() || number < 0 || number > max_timeout.count()) {
        return std::nullopt;
    }
    return milliseconds{number};
}

// Removes the port and converts to lower case, because routes name hosts this way.
std::string parse_host(const std::string_view header) {
    std::string host{header.substr(0, header.find(':'))};
    std::ranges::transform(host, host.begin(),
                           [](const unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return host;
}

bool is_set_by_node(const http_header& header) {
    return same_header_name(header.name, platform_names::caller_service) ||
           same_header_name(header.name, platform_names::target_instance) ||
           same_header_name(header.name, platform_names::deadline_ms);
}

std::uint32_t to_status(const call_refusal& refusal) {
    if (refusal.state != run_state::not_run) {
        const auto timed_out =
            refusal.reason == refusal_reason::deadline_passed || refusal.reason == refusal_reason::upstream_timeout;
        return timed_out ? status_timeout : status_bad_gateway;
    }
    switch (refusal.reason) {
    case refusal_reason::bad_request:
        return status_bad_request;
    case refusal_reason::request_too_large:
        return status_too_large;
    case refusal_reason::no_route:
        return status_not_found;
    default:
        return status_unavailable;
    }
}

std::string format_seconds(const milliseconds time) {
    constexpr std::size_t max_text_bytes = 32;
    std::string text(max_text_bytes, '\0');
    const std::chrono::duration<double> seconds = time;
    text.resize(static_cast<std::size_t>(std::snprintf(text.data(), text.size(), "%.3f", seconds.count())));
    return text;
}

http_response to_refusal_response(const call_refusal& refusal) {
    http_response response{.status = to_status(refusal)};
    if (response.status == status_unavailable && refusal.retry_after > milliseconds{}) {
        response.headers.push_back(
            {.name = std::string{platform_names::retry_after}, .value = format_seconds(refusal.retry_after)});
    }
    return response;
}

} // namespace

std::optional<call_request> decode_call(const http_exchange& exchange, const service_name& caller_service) {
    const auto host = find_header(exchange.headers(), "Host");
    if (!host || exchange.target().empty() || exchange.target().front() != '/') {
        return std::nullopt;
    }
    call_request call{.method = exchange.method(),
                      .host = parse_host(*host),
                      .request_id =
                          std::string{find_header(exchange.headers(), platform_names::request_id).value_or("")},
                      .target = exchange.target(),
                      .headers = exchange.headers(),
                      .body = exchange.body(),
                      .timeout = default_timeout};
    if (const auto text = find_header(call.headers, platform_names::deadline_ms)) {
        const auto timeout = parse_milliseconds(*text);
        if (!timeout) {
            return std::nullopt;
        }
        call.timeout = *timeout;
    }
    std::erase_if(call.headers, is_set_by_node);
    call.headers.push_back({.name = std::string{platform_names::caller_service}, .value = caller_service.value});
    return call;
}

http_response encode_result(const call_result& result) {
    if (const auto* refusal = std::get_if<call_refusal>(&result)) {
        return to_refusal_response(*refusal);
    }
    return std::get<http_response>(result);
}

std::vector<http_header> encode_call_headers(const call_request& call, const milliseconds timeout,
                                             const std::string_view upstream_id) {
    auto headers = call.headers;
    headers.push_back({.name = std::string{platform_names::deadline_ms}, .value = std::to_string(timeout.count())});
    headers.push_back({.name = std::string{platform_names::target_instance}, .value = std::string{upstream_id}});
    return headers;
}

response_verdict classify_response(const call_request& call, const http_response& response) {
    const auto id = find_header(response.headers, platform_names::request_id);
    if (id && *id != call.request_id) {
        return {.outcome = upstream_outcome::invalid};
    }
    if (find_header(response.headers, platform_names::not_executed) || response.status == status_misdirected) {
        return {.outcome = upstream_outcome::rejected,
                .identified = id.has_value(),
                .misdirected = response.status == status_misdirected};
    }
    const auto has_valid_headers = id && find_header(response.headers, platform_names::response_signature) &&
                                   !find_header(response.headers, "Content-Encoding");
    const auto is_success = response.status >= status_ok && response.status < status_redirect;
    return {.outcome = has_valid_headers || !is_success ? upstream_outcome::answered : upstream_outcome::invalid,
            .identified = id.has_value()};
}

} // namespace goldcrestwell
