#include "goldcrestwell/shell/http_server.hpp"

#include "goldcrestwell/shell/http_headers.hpp"
#include "goldcrestwell/shell/http_method.hpp"
#include "goldcrestwell/shell/socket_options.hpp"
#include "goldcrestwell/shell/timeval.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/util.h>

#include <utility>

namespace goldcrestwell {

namespace {

constexpr ev_uint16_t served_methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                       EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

std::string take_body(evhttp_request* request) {
    auto* input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    return body;
}

http_message to_message(evhttp_request* request) {
    return {.method = std::string{method_name(evhttp_request_get_command(request)).value_or("")},
            .target = evhttp_request_get_uri(request),
            .headers = copy_headers(evhttp_request_get_input_headers(request)),
            .body = take_body(request)};
}

void send_response(evhttp_request* request, const http_response& response, const bool head_request) {
    copy_headers(response.headers, evhttp_request_get_output_headers(request));
    if (!head_request) {
        evbuffer_add(evhttp_request_get_output_buffer(request), response.body.data(), response.body.size());
    }
    evhttp_send_reply(request, static_cast<int>(response.status), nullptr, nullptr);
}

} // namespace

void http_server::http_deleter::operator()(evhttp* handle) const noexcept {
    evhttp_free(handle);
}

void http_server::event_deleter::operator()(event* handle) const noexcept {
    event_free(handle);
}

http_server::http_server(event_loop& loop, http_server_options options)
    : loop_{loop}, options_{std::move(options)}, handle_{evhttp_new(loop.base())} {
    evhttp_set_max_headers_size(handle_.get(), static_cast<ev_ssize_t>(options_.max_header_bytes));
    evhttp_set_max_body_size(handle_.get(), static_cast<ev_ssize_t>(options_.max_body_bytes));
    const auto timeout = to_timeval(options_.idle_timeout);
    evhttp_set_timeout_tv(handle_.get(), &timeout);
    evhttp_set_allowed_methods(handle_.get(), served_methods);
    const auto on_request = [](evhttp_request* request, void* argument) {
        static_cast<http_server*>(argument)->serve(request);
    };
    evhttp_set_gencb(handle_.get(), on_request, this);
}

bool http_server::start() {
    socket_ = evhttp_bind_socket_with_handle(handle_.get(), options_.address.c_str(), options_.port);
    if (socket_ == nullptr) {
        return false;
    }
    // Accepted sockets inherit the option from the listening socket.
    disable_nagle(evhttp_bound_socket_get_fd(socket_));
    return true;
}

void http_server::stop_accepting() {
    if (socket_ != nullptr) {
        evhttp_del_accept_socket(handle_.get(), socket_);
        socket_ = nullptr;
    }
}

void http_server::serve(evhttp_request* request) {
    auto* connection = evhttp_request_get_connection(request);
    auto message = to_message(request);
    const auto head_request = message.method == "HEAD";
    const auto exchange =
        std::make_shared<http_exchange>(std::move(message), [request, head_request](const http_response& response) {
            send_response(request, response, head_request);
        });
    const auto on_close = [](evhttp_connection* closed, void* argument) {
        static_cast<http_server*>(argument)->on_closed(closed);
    };
    evhttp_connection_set_closecb(connection, on_close, this);
    const auto on_complete = [](evhttp_request* completed, void* argument) {
        auto& self = *static_cast<http_server*>(argument);
        self.active_.erase(evhttp_request_get_connection(completed));
    };
    evhttp_request_set_on_complete_cb(request, on_complete, this);
    active_.insert_or_assign(connection,
                             waiting_request{.exchange = exchange, .close_watch = watch_for_close(connection)});
    options_.on_request(exchange);
}

// evhttp does not read from a connection while a request is pending, so it would not detect that the caller closed it.
std::unique_ptr<event, http_server::event_deleter> http_server::watch_for_close(evhttp_connection* connection) {
    const auto on_close = [](evutil_socket_t /*unused*/, short /*unused*/, void* argument) {
        evhttp_connection_free(static_cast<evhttp_connection*>(argument));
    };
    const auto descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    std::unique_ptr<event, event_deleter> watch{event_new(loop_.base(), descriptor, EV_CLOSED, on_close, connection)};
    event_add(watch.get(), nullptr);
    return watch;
}

void http_server::on_closed(evhttp_connection* connection) {
    const auto found = active_.find(connection);
    if (found == active_.end()) {
        return;
    }
    const auto exchange = std::move(found->second.exchange);
    active_.erase(found);
    exchange->notify_disconnect();
}

} // namespace goldcrestwell
