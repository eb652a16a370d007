#include "goldcrestwell/shell/http_connection.hpp"

#include "goldcrestwell/shell/http_headers.hpp"
#include "goldcrestwell/shell/http_method.hpp"
#include "goldcrestwell/shell/socket_options.hpp"
#include "goldcrestwell/shell/timeval.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <utility>

namespace goldcrestwell {

namespace {

constexpr std::uint32_t no_content = 204;
constexpr std::uint32_t not_modified = 304;

upstream_outcome to_outcome(const evhttp_request_error error, const bool headers_seen) {
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return upstream_outcome::timed_out;
    case EVREQ_HTTP_DATA_TOO_LONG:
        return upstream_outcome::too_large;
    default:
        return headers_seen ? upstream_outcome::truncated : upstream_outcome::reset;
    }
}

// libevent passes an answer without a length that ends by close as whole, although its end may be missing.
bool has_length(evhttp_request* request) {
    const auto* headers = evhttp_request_get_input_headers(request);
    return evhttp_find_header(headers, "Content-Length") != nullptr ||
           evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
}

std::string take_body(evhttp_request* request) {
    auto* input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    return body;
}

} // namespace

void http_connection::connection_deleter::operator()(evhttp_connection* handle) const noexcept {
    evhttp_connection_free(handle);
}

http_connection::http_connection(event_loop& loop, endpoint server, const std::size_t max_answer_bytes)
    : loop_{loop}, server_{std::move(server)}, max_answer_bytes_{max_answer_bytes},
      handle_{evhttp_connection_base_new(loop.base(), nullptr, server_.address.c_str(), server_.port)} {
    evhttp_connection_set_max_body_size(handle_.get(), static_cast<ev_ssize_t>(max_answer_bytes_));
    // A resend below the ledger would break at-most-once.
    evhttp_connection_set_retries(handle_.get(), 0);
}

http_connection::~http_connection() {
    cancel();
}

void http_connection::send(const http_client_request& request, result_hook on_result) {
    const auto on_done = [](evhttp_request* done, void* argument) {
        static_cast<http_connection*>(argument)->on_answer(done);
    };
    const auto on_error = [](const evhttp_request_error error, void* argument) {
        auto& self = *static_cast<http_connection*>(argument);
        self.error_ = to_outcome(error, self.headers_seen_);
    };
    const auto on_headers = [](evhttp_request* /*unused*/, void* argument) {
        static_cast<http_connection*>(argument)->headers_seen_ = true;
        return 0;
    };
    on_result_ = std::move(on_result);
    error_.reset();
    headers_seen_ = false;
    head_request_ = request.method == "HEAD";
    request_ = evhttp_request_new(on_done, this);
    evhttp_request_set_error_cb(request_, on_error);
    evhttp_request_set_header_cb(request_, on_headers);
    auto* headers = evhttp_request_get_output_headers(request_);
    copy_headers(request.headers, headers);
    if (evhttp_find_header(headers, "Host") == nullptr) {
        evhttp_add_header(headers, "Host", server_.address.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request_), request.body.data(), request.body.size());
    const auto timeout = to_timeval(request.timeout);
    evhttp_connection_set_timeout_tv(handle_.get(), &timeout);
    const auto type = method_type(request.method).value_or(EVHTTP_REQ_GET);
    if (evhttp_make_request(handle_.get(), request_, type, request.target.c_str()) != 0) {
        request_ = nullptr;
        loop_.defer([hook = on_result_] { hook({.outcome = upstream_outcome::not_sent}); });
        broken_ = true;
        return;
    }
    if (const auto descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(handle_.get())); descriptor >= 0) {
        disable_nagle(descriptor);
    }
}

void http_connection::cancel() {
    broken_ = true;
    on_result_ = nullptr;
    if (request_ != nullptr) {
        evhttp_cancel_request(std::exchange(request_, nullptr));
    }
}

void http_connection::on_answer(evhttp_request* request) {
    request_ = nullptr;
    if (request == nullptr) {
        finish({.outcome = error_.value_or(upstream_outcome::reset)});
        return;
    }
    const auto status = static_cast<std::uint32_t>(evhttp_request_get_response_code(request));
    if (status == 0) {
        // The connection could not be opened, so nothing was written.
        finish({.outcome = upstream_outcome::not_sent});
        return;
    }
    const auto bodiless = head_request_ || status == no_content || status == not_modified;
    if (!bodiless && !has_length(request)) {
        finish({.outcome = upstream_outcome::truncated});
        return;
    }
    finish({.outcome = upstream_outcome::answered,
            .answer = {.status = status,
                       .headers = copy_headers(evhttp_request_get_input_headers(request)),
                       .body = take_body(request)}});
}

void http_connection::finish(upstream_result result) {
    if (result.outcome != upstream_outcome::answered) {
        broken_ = true;
    }
    if (!on_result_) {
        return;
    }
    // libevent still uses the connection while this function runs, and the hook may destroy it.
    loop_.defer([hook = std::exchange(on_result_, nullptr), answer = std::move(result)] { hook(answer); });
}

} // namespace goldcrestwell
