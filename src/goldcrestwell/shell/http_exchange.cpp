#include "goldcrestwell/shell/http_exchange.hpp"

#include "goldcrestwell/shell/http_headers.hpp"
#include "goldcrestwell/shell/http_method.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace goldcrestwell {

namespace {

std::string take_body(evhttp_request* request) {
    auto* input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    return body;
}

} // namespace

http_exchange::http_exchange(evhttp_request* request)
    : request_{request}, method_{method_name(evhttp_request_get_command(request)).value_or("")},
      target_{evhttp_request_get_uri(request)}, headers_{copy_headers(evhttp_request_get_input_headers(request))},
      body_{take_body(request)} {}

std::string_view http_exchange::path() const noexcept {
    return std::string_view{target_}.substr(0, target_.find('?'));
}

std::optional<std::string> http_exchange::parameter(const std::string& name) const {
    const auto mark = target_.find('?');
    if (mark == std::string::npos) {
        return std::nullopt;
    }
    evkeyvalq parameters{};
    if (evhttp_parse_query_str(target_.c_str() + mark + 1, &parameters) != 0) {
        return std::nullopt;
    }
    std::optional<std::string> found;
    if (const auto* value = evhttp_find_header(&parameters, name.c_str()); value != nullptr) {
        found = value;
    }
    evhttp_clear_headers(&parameters);
    return found;
}

void http_exchange::reply(const http_answer& answer) {
    if (request_ == nullptr) {
        return;
    }
    auto* request = std::exchange(request_, nullptr);
    copy_headers(answer.headers, evhttp_request_get_output_headers(request));
    auto* output = evhttp_request_get_output_buffer(request);
    if (method_ != "HEAD") {
        evbuffer_add(output, answer.body.data(), answer.body.size());
    }
    evhttp_send_reply(request, static_cast<int>(answer.status), nullptr, nullptr);
}

void http_exchange::mark_gone() {
    if (std::exchange(request_, nullptr) != nullptr && on_gone_) {
        on_gone_();
    }
}

} // namespace goldcrestwell
