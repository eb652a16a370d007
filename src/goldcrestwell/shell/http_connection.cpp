#include "goldcrestwell/shell/http_connection.hpp"

#include "goldcrestwell/shell/body_output.hpp"
#include "goldcrestwell/shell/http_headers.hpp"
#include "goldcrestwell/shell/socket_options.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace goldcrestwell {

namespace {

constexpr std::size_t read_chunk_bytes = 65'536;

sockaddr_in to_socket_address(const endpoint& server) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
    return address;
}

bool carries_body(const http_client_request& request) {
    constexpr std::array<std::string_view, 3> methods{"POST", "PUT", "PATCH"};
    return !request.body.empty() || std::ranges::find(methods, request.method) != methods.end();
}

upstream_outcome outcome_of(const http_parser_fault fault) {
    switch (fault) {
    case http_parser_fault::malformed:
        return upstream_outcome::invalid;
    case http_parser_fault::out_of_memory:
        return upstream_outcome::out_of_memory;
    default:
        return upstream_outcome::too_large;
    }
}

std::string format_request_head(const http_client_request& request, const endpoint& server) {
    auto head = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    if (!find_header(request.headers, "Host")) {
        head.append("Host: ").append(server.address).append("\r\n");
    }
    for (const auto& header : request.headers) {
        if (!is_hop_by_hop(header.name)) {
            head.append(header.name).append(": ").append(header.value).append("\r\n");
        }
    }
    if (carries_body(request)) {
        head.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    return head.append("\r\n");
}

} // namespace

void http_connection::handle_deleter::operator()(bufferevent* handle) const noexcept {
    bufferevent_free(handle);
}

http_connection::http_connection(event_loop& loop, endpoint server, const std::size_t max_response_bytes)
    : http_connection{loop, std::move(server), http_connection_options{.max_response_bytes = max_response_bytes}} {}

http_connection::http_connection(event_loop& loop, endpoint server, http_connection_options options)
    : loop_{loop}, server_{std::move(server)}, options_{std::move(options)}, parser_{{.max_body_bytes =
                                                                                          options_.max_response_bytes,
                                                                                      .memory = options_.memory,
                                                                                      .counts_as_small =
                                                                                          options_.counts_as_small}},
      timeout_{loop, [this](time_sample) {
                   on_timeout();
               }} {}

http_connection::~http_connection() {
    cancel();
}

bool http_connection::connect() {
    // With deferred callbacks a hook may destroy this object: libevent does not access it afterwards.
    handle_.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    const auto readable = [](bufferevent* /*unused*/, void* argument) {
        static_cast<http_connection*>(argument)->on_readable();
    };
    const auto changed = [](bufferevent* /*unused*/, const short what, void* argument) {
        auto& self = *static_cast<http_connection*>(argument);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            self.on_connected();
        } else {
            // After a failed write, the end of the stream may be reported together with the error.
            self.on_closed((what & BEV_EVENT_EOF) != 0 && (what & BEV_EVENT_ERROR) == 0);
        }
    };
    bufferevent_setcb(handle_.get(), readable, nullptr, changed, this);
    bufferevent_enable(handle_.get(), EV_READ | EV_WRITE);
    auto address = to_socket_address(server_);
    if (bufferevent_socket_connect(handle_.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        return false;
    }
    tune_stream(bufferevent_getfd(handle_.get()));
    return true;
}

void http_connection::send(const http_client_request& request, result_hook on_result) {
    on_result_ = std::move(on_result);
    busy_ = true;
    deadline_ = loop_.now().steady + request.timeout;
    if (request.method == "HEAD") {
        parser_.expect_no_body();
    }
    if (!handle_ && !connect()) {
        finish({.outcome = upstream_outcome::not_sent});
        return;
    }
    const auto has_connect_timeout = !connected_ && options_.connect_timeout > std::chrono::milliseconds{};
    timeout_.schedule_after(has_connect_timeout ? std::min(options_.connect_timeout, request.timeout)
                                                : request.timeout);
    write(request);
}

void http_connection::write(const http_client_request& request) {
    const auto head = format_request_head(request, server_);
    bufferevent_write(handle_.get(), head.data(), head.size());
    append_body(bufferevent_get_output(handle_.get()), request.body);
    request_bytes_ = head.size() + request.body.size();
}

// Checks the output buffer instead of connected_: libevent reports an open connection only after the first bytes have
// been written. On a slow host the timeout can fire between the two, and the server may execute a request that would
// be reported as not sent.
bool http_connection::is_unsent() const noexcept {
    return handle_ && evbuffer_get_length(bufferevent_get_output(handle_.get())) >= request_bytes_;
}

void http_connection::cancel() {
    broken_ = true;
    busy_ = false;
    on_result_ = nullptr;
    timeout_.cancel();
    handle_.reset();
}

void http_connection::on_connected() {
    connected_ = true;
    if (busy_) {
        timeout_.schedule_at(deadline_);
    }
}

void http_connection::on_readable() {
    std::array<char, read_chunk_bytes> chunk{};
    while (handle_) {
        const auto count = bufferevent_read(handle_.get(), chunk.data(), chunk.size());
        if (count == 0) {
            return;
        }
        if (!busy_) {
            // These bytes belong to no request; bytes that follow them could be mistaken for the response to the next
            // request.
            cancel();
            return;
        }
        const std::string_view bytes{chunk.data(), count};
        const auto consumed_bytes = parser_.feed(bytes);
        if (parser_.fault() != http_parser_fault::none) {
            fail(outcome_of(parser_.fault()));
            return;
        }
        if (auto message = parser_.take()) {
            const auto buffered_bytes = evbuffer_get_length(bufferevent_get_input(handle_.get()));
            on_message(std::move(*message), consumed_bytes < bytes.size() || buffered_bytes > 0);
            return;
        }
    }
}

void http_connection::on_closed(const bool closed_orderly) {
    if (!busy_) {
        cancel();
        return;
    }
    if (is_unsent()) {
        fail(upstream_outcome::not_sent);
        return;
    }
    const auto unframed = parser_.headers_complete() && !parser_.partial().framed;
    // A server that closes without having read the whole request resets the connection, possibly after its last bytes.
    const auto request_written = evbuffer_get_length(bufferevent_get_output(handle_.get())) == 0;
    if (closed_orderly && request_written && unframed && options_.accept_close_delimited) {
        parser_.feed_end();
        if (auto message = parser_.take()) {
            on_message(std::move(*message), false);
            return;
        }
    }
    fail(parser_.headers_complete() || parser_.inside() ? upstream_outcome::truncated : upstream_outcome::reset);
}

void http_connection::on_timeout() {
    if (is_unsent()) {
        fail(upstream_outcome::not_sent);
        return;
    }
    if (!connected_ && loop_.now().steady < deadline_) {
        on_connected();
        return;
    }
    fail(upstream_outcome::timed_out);
}

void http_connection::on_message(http_message message, const bool has_extra_bytes) {
    // The server would read the unsent bytes of this request as the start of the next one.
    const auto has_unsent_bytes = evbuffer_get_length(bufferevent_get_output(handle_.get())) > 0;
    if (!message.keep_alive || !message.framed || has_extra_bytes || has_unsent_bytes) {
        broken_ = true;
        handle_.reset();
    }
    finish({.outcome = upstream_outcome::answered,
            .response = {
                .status = message.status, .headers = std::move(message.headers), .body = std::move(message.body)}});
}

void http_connection::fail(const upstream_outcome outcome) {
    handle_.reset();
    finish({.outcome = outcome});
}

void http_connection::finish(upstream_result result) {
    timeout_.cancel();
    if (result.outcome != upstream_outcome::answered) {
        broken_ = true;
    }
    busy_ = false;
    if (!on_result_) {
        return;
    }
    // Deferred because the hook may destroy the connection.
    loop_.defer([hook = std::exchange(on_result_, nullptr), final_result = std::move(result)] { hook(final_result); });
}

} // namespace goldcrestwell
