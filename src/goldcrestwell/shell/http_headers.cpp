#include "goldcrestwell/shell/http_headers.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, 10> hop_by_hop_names{
    "connection", "content-length", "expect",  "keep-alive",        "proxy-authenticate",
    "te",         "trailer",        "upgrade", "transfer-encoding", "proxy-connection"};

} // namespace

bool same_header_name(const std::string_view left, const std::string_view right) noexcept {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const char one, const char other) {
        return std::tolower(static_cast<unsigned char>(one)) == std::tolower(static_cast<unsigned char>(other));
    });
}

bool is_hop_by_hop(const std::string_view name) noexcept {
    return std::any_of(
        hop_by_hop_names.begin(), hop_by_hop_names.end(),
        [name](const std::string_view hop_by_hop_name) { return same_header_name(name, hop_by_hop_name); });
}

std::optional<std::string_view> find_header(const std::vector<http_header>& headers,
                                            const std::string_view name) noexcept {
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [name](const http_header& header) { return same_header_name(header.name, name); });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->value;
}

} // namespace goldcrestwell
