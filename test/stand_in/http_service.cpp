#include "stand_in/http_service.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <csignal>

namespace goldcrestwell::test {

namespace {

constexpr std::size_t max_body_bytes = std::size_t{16} << 20U;
constexpr std::size_t truncated_bytes = 100;
// The partial body must be sent before the connection is closed.
constexpr std::chrono::milliseconds truncation_delay{50};

timeval to_timeval(const std::chrono::milliseconds delay) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(delay);
    const auto rest = std::chrono::duration_cast<std::chrono::microseconds>(delay - seconds);
    return {.tv_sec = seconds.count(), .tv_usec = rest.count()};
}

std::string body_of(evhttp_request* request) {
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    return body;
}

void add_parameters(const char* text, parameters& target) {
    evkeyvalq list{};
    if (text == nullptr || evhttp_parse_query_str(text, &list) != 0) {
        return;
    }
    for (const evkeyval* entry = list.tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
        target[entry->key] = entry->value;
    }
    evhttp_clear_headers(&list);
}

http_input read_input(evhttp_request* request) {
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const char* path = evhttp_uri_get_path(uri);
    const char* id = evhttp_find_header(evhttp_request_get_input_headers(request), "x-request-id");
    http_input input{.method = evhttp_request_get_command(request),
                     .path = path == nullptr || *path == '\0' ? "/" : path,
                     .query = {},
                     .body = body_of(request),
                     .request_id = id == nullptr ? "" : id};
    add_parameters(evhttp_uri_get_query(uri), input.query);
    if (input.method == EVHTTP_REQ_POST && input.path == "/faults") {
        add_parameters(input.body.c_str(), input.query);
    }
    return input;
}

} // namespace

http_service::http_service(const std::uint16_t port, handler handle, std::function<void()> terminate)
    : handle_{std::move(handle)}, terminate_{std::move(terminate)}, base_{event_base_new(), event_base_free},
      http_{evhttp_new(base_.get()), evhttp_free}, terminate_signal_{evsignal_new(base_.get(), SIGTERM, on_signal,
                                                                                  this),
                                                                     event_free},
      interrupt_signal_{evsignal_new(base_.get(), SIGINT, on_signal, this), event_free} {
    std::signal(SIGPIPE, SIG_IGN);
    event_add(terminate_signal_.get(), nullptr);
    event_add(interrupt_signal_.get(), nullptr);
    evhttp_set_max_body_size(http_.get(), max_body_bytes);
    evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                                EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(http_.get(), on_request, this);
    evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(http_.get(), "127.0.0.1", port);
    if (socket == nullptr) {
        return;
    }
    // Accepted sockets inherit the option from the listening one.
    const int on = 1;
    bound_ = ::setsockopt(evhttp_bound_socket_get_fd(socket), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)) == 0;
}

void http_service::run() {
    event_base_dispatch(base_.get());
}

void http_service::stop() {
    event_base_loopexit(base_.get(), nullptr);
}

void http_service::call_after(const std::chrono::milliseconds delay, std::function<void()> action) {
    const auto number = next_timer_++;
    timer& entry = timers_[number];
    entry.owner = this;
    entry.number = number;
    entry.action = std::move(action);
    entry.handle.reset(evtimer_new(base_.get(), on_timer, &entry));
    const timeval wait = to_timeval(delay);
    evtimer_add(entry.handle.get(), &wait);
}

void http_service::reply(evhttp_request* request, const int status, const std::string_view body,
                         const char* content_type) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", content_type);
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

void http_service::drop(evhttp_request* request) {
    if (evhttp_connection* connection = evhttp_request_get_connection(request)) {
        evhttp_connection_free(connection);
    } else {
        evhttp_request_free(request);
    }
}

void http_service::reply_truncated(evhttp_request* request, const std::string_view body) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Length",
                      std::to_string(body.size() + truncated_bytes).c_str());
    evhttp_send_reply_start(request, HTTP_OK, nullptr);
    const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> part{evbuffer_new(), evbuffer_free};
    evbuffer_add(part.get(), body.data(), body.size());
    evhttp_send_reply_chunk(request, part.get());
    call_after(truncation_delay, [request] { drop(request); });
}

void http_service::on_request(evhttp_request* request, void* self) {
    static_cast<http_service*>(self)->handle_(request, read_input(request));
}

void http_service::on_signal(evutil_socket_t, short, void* self) {
    static_cast<http_service*>(self)->terminate_();
}

void http_service::on_timer(evutil_socket_t, short, void* entry) {
    auto* const due = static_cast<timer*>(entry);
    const auto action = std::move(due->action);
    due->owner->timers_.erase(due->number);
    action();
}

std::uint64_t number_or(const parameters& values, const std::string_view name, const std::uint64_t fallback) {
    const auto found = values.find(name);
    if (found == values.end()) {
        return fallback;
    }
    const std::string& text = found->second;
    std::uint64_t number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && end == text.data() + text.size() ? number : fallback;
}

} // namespace goldcrestwell::test
