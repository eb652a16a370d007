#include "goldcrestwell/shell/http_exchange.hpp"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <utility>

namespace goldcrestwell {

std::string_view http_exchange::path() const noexcept {
    return std::string_view{request_.target}.substr(0, request_.target.find('?'));
}

std::optional<std::string> http_exchange::parameter(const std::string& name) const {
    const auto query_mark = request_.target.find('?');
    if (query_mark == std::string::npos) {
        return std::nullopt;
    }
    evkeyvalq parameters{};
    if (evhttp_parse_query_str(request_.target.c_str() + query_mark + 1, &parameters) != 0) {
        return std::nullopt;
    }
    std::optional<std::string> decoded;
    if (const auto* value = evhttp_find_header(&parameters, name.c_str()); value != nullptr) {
        decoded = value;
    }
    evhttp_clear_headers(&parameters);
    return decoded;
}

void http_exchange::reply(const http_response& response) {
    if (const auto send = std::exchange(send_, nullptr)) {
        on_disconnect_ = nullptr;
        send(response);
    }
}

void http_exchange::notify_disconnect() {
    const auto hook = std::exchange(on_disconnect_, nullptr);
    if (std::exchange(send_, nullptr) && hook) {
        hook();
    }
}

} // namespace goldcrestwell
