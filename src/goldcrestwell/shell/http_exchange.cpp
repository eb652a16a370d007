#include "goldcrestwell/shell/http_exchange.hpp"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <utility>

namespace goldcrestwell {

std::string_view http_exchange::path() const noexcept {
    return std::string_view{request_.target}.substr(0, request_.target.find('?'));
}

std::optional<std::string> http_exchange::parameter(const std::string& name) const {
    const auto mark = request_.target.find('?');
    if (mark == std::string::npos) {
        return std::nullopt;
    }
    evkeyvalq parameters{};
    if (evhttp_parse_query_str(request_.target.c_str() + mark + 1, &parameters) != 0) {
        return std::nullopt;
    }
    std::optional<std::string> found;
    if (const auto* value = evhttp_find_header(&parameters, name.c_str()); value != nullptr) {
        found = value;
    }
    evhttp_clear_headers(&parameters);
    return found;
}

void http_exchange::reply(const http_response& answer) {
    if (const auto send = std::exchange(send_, nullptr)) {
        on_gone_ = nullptr;
        send(answer);
    }
}

void http_exchange::mark_gone() {
    const auto gone = std::exchange(on_gone_, nullptr);
    if (std::exchange(send_, nullptr) && gone) {
        gone();
    }
}

} // namespace goldcrestwell
