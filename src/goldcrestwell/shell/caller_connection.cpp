#include "goldcrestwell/shell/caller_connection.hpp"

#include "goldcrestwell/shell/body_output.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace goldcrestwell {

namespace {

constexpr std::size_t read_chunk_bytes = 65'536;
// Maximum number of requests of one connection that wait for a response; reading pauses at this number.
constexpr std::size_t max_pending = 64;
// Reading pauses while the caller has more than this, and more than one response, to read.
constexpr std::size_t max_unwritten_bytes = 65'536;
// Small bodies are copied to the output buffer, which takes less time than holding them.
constexpr std::size_t max_copied_body_bytes = 4'096;
// Time during which bytes that arrive after the last response are read and dropped: closing a connection with unread
// bytes would reset it, and the caller could lose the response.
constexpr std::chrono::milliseconds linger_period{1'000};

constexpr std::uint32_t status_bad_request = 400;
constexpr std::uint32_t status_timeout = 408;
constexpr std::uint32_t status_body_too_large = 413;
constexpr std::uint32_t status_headers_too_large = 431;
constexpr std::uint32_t status_unavailable = 503;
// A crowd of uploads lasts longer than the requests of ordinary callers.
constexpr std::string_view retry_after_seconds{"1"};
constexpr std::uint32_t status_no_content = 204;
constexpr std::uint32_t status_not_modified = 304;

std::string_view reason_phrase(const std::uint32_t status) {
    switch (status) {
#define GOLDCRESTWELL_STATUS(number, name, text)                                                                       \
    case number:                                                                                                       \
        return #text;
        HTTP_STATUS_MAP(GOLDCRESTWELL_STATUS)
#undef GOLDCRESTWELL_STATUS
    default:
        return "Unknown";
    }
}

std::uint32_t status_of(const http_parser_fault fault) {
    switch (fault) {
    case http_parser_fault::headers_too_large:
        return status_headers_too_large;
    case http_parser_fault::body_too_large:
        return status_body_too_large;
    case http_parser_fault::out_of_memory:
        return status_unavailable;
    default:
        return status_bad_request;
    }
}

bool has_no_body(const std::uint32_t status) {
    return status == status_no_content || status == status_not_modified;
}

} // namespace

void caller_connection::handle_deleter::operator()(bufferevent* handle) const noexcept {
    bufferevent_free(handle);
}

caller_connection::caller_connection(event_loop& loop, const int descriptor, caller_connection_options options)
    : loop_{loop}, options_{std::move(options)}, parser_{{.requests = true,
                                                          .max_header_bytes = options_.limits.max_header_bytes,
                                                          .max_body_bytes = options_.limits.max_body_bytes,
                                                          .memory = options_.memory}},
      timeout_{loop,
               [this](time_sample) {
                   on_timeout();
               }},
      last_progress_{loop.now().steady}, handle_{
                                             bufferevent_socket_new(loop.base(), descriptor,
                                                                    BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)} {
    install_callbacks();
    schedule_timeout();
}

caller_connection::~caller_connection() {
    *alive_ = false;
}

void caller_connection::install_callbacks() {
    const auto readable = [](bufferevent* /*unused*/, void* argument) {
        static_cast<caller_connection*>(argument)->on_readable();
    };
    const auto written = [](bufferevent* /*unused*/, void* argument) {
        static_cast<caller_connection*>(argument)->on_written();
    };
    const auto ended = [](bufferevent* /*unused*/, short /*unused*/, void* argument) {
        static_cast<caller_connection*>(argument)->on_disconnected();
    };
    const auto output_changed = [](evbuffer* /*unused*/, const evbuffer_cb_info* change, void* argument) {
        if (change->n_deleted > 0) {
            auto& self = *static_cast<caller_connection*>(argument);
            self.last_progress_ = self.loop_.now().steady;
        }
    };
    bufferevent_setcb(handle_.get(), readable, written, ended, this);
    bufferevent_setwatermark(handle_.get(), EV_WRITE, max_unwritten_bytes, 0);
    evbuffer_add_cb(bufferevent_get_output(handle_.get()), output_changed, this);
    bufferevent_enable(handle_.get(), EV_READ | EV_WRITE);
}

void caller_connection::set_limits(const caller_limits& limits) {
    options_.limits = limits;
    parser_.set_limits(limits.max_header_bytes, limits.max_body_bytes);
}

std::size_t caller_connection::unwritten_bytes() const {
    return handle_ ? evbuffer_get_length(bufferevent_get_output(handle_.get())) : 0;
}

bool caller_connection::accepts_requests() const {
    return pending_.size() < max_pending && unwritten_bytes() <= std::max(max_unwritten_bytes, last_response_bytes_);
}

std::size_t caller_connection::in_progress() const noexcept {
    return pending_.size() + (parser_.inside() && !last_request_ ? 1 : 0) + (unwritten_bytes() > 0 ? 1 : 0);
}

std::optional<steady_time> caller_connection::idle_since() const {
    const auto idle = !in_read_handler_ && !closing_ && pending_.empty() && !parser_.inside() && unwritten_bytes() == 0;
    return idle ? std::optional{last_progress_} : std::nullopt;
}

std::optional<steady_time> caller_connection::incomplete_since() const {
    if (in_read_handler_ || !pending_.empty()) {
        return std::nullopt;
    }
    if (parser_.inside() && !closing_) {
        return request_started_;
    }
    return unwritten_bytes() > 0 ? std::optional{response_started_} : std::nullopt;
}

void caller_connection::abandon() {
    if (parser_.inside() && !closing_) {
        refuse(http_parser_fault::out_of_memory);
    } else {
        close();
    }
}

void caller_connection::close_after_response() {
    if (pending_.empty() && !parser_.inside() && !closing_) {
        // If a response is still being written, the connection closes after it.
        closing_ = true;
        on_written();
        return;
    }
    if (parser_.inside()) {
        close_after_next_request();
    } else {
        reading_ = false;
    }
}

void caller_connection::on_readable() {
    in_read_handler_ = true;
    last_progress_ = loop_.now().steady;
    while (handle_ && read_request()) {
    }
    in_read_handler_ = false;
    if (handle_ && parser_.inside() && reading_) {
        const auto awaits_continue = parser_.headers_complete() && parser_.partial().expects_continue;
        if (awaits_continue && !std::exchange(continue_sent_, true) && pending_.empty()) {
            constexpr std::string_view continue_line{"HTTP/1.1 100 Continue\r\n\r\n"};
            bufferevent_write(handle_.get(), continue_line.data(), continue_line.size());
        }
        schedule_timeout();
    }
}

bool caller_connection::read_request() {
    auto* input = bufferevent_get_input(handle_.get());
    if (lingering_ || !reading_) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return false;
    }
    if (!accepts_requests()) {
        bufferevent_disable(handle_.get(), EV_READ);
        return false;
    }
    std::array<char, read_chunk_bytes> chunk{};
    const auto count = evbuffer_copyout(input, chunk.data(), chunk.size());
    if (count <= 0) {
        return false;
    }
    const auto was_inside = parser_.inside();
    const auto consumed_bytes = parser_.feed({chunk.data(), static_cast<std::size_t>(count)});
    evbuffer_drain(input, consumed_bytes);
    if (!was_inside) {
        request_started_ = last_progress_;
    }
    if (parser_.fault() != http_parser_fault::none) {
        refuse(parser_.fault());
        return false;
    }
    if (auto message = parser_.take()) {
        continue_sent_ = false;
        serve(std::move(*message));
    }
    return true;
}

void caller_connection::serve(http_message message) {
    timeout_.cancel();
    const auto waiting = std::make_shared<pending_response>();
    waiting->keep_alive = message.keep_alive;
    waiting->head_request = message.method == "HEAD";
    if (!message.keep_alive || last_request_) {
        reading_ = false;
    }
    waiting->exchange = std::make_shared<http_exchange>(
        std::move(message), [this, alive = std::weak_ptr<bool>{alive_},
                             weak_pending = std::weak_ptr<pending_response>{waiting}](const http_response& response) {
            const auto pending = weak_pending.lock();
            const auto connected = alive.lock();
            if (pending && connected && *connected) {
                pending->response = response;
                flush();
            }
        });
    pending_.push_back(waiting);
    options_.on_request(waiting->exchange);
}

void caller_connection::refuse(const http_parser_fault fault) {
    if (options_.on_refused) {
        options_.on_refused(fault);
    }
    reject(status_of(fault));
}

void caller_connection::reject(const std::uint32_t status) {
    reading_ = false;
    parser_.discard();
    const auto refused = std::make_shared<pending_response>();
    refused->response = http_response{.status = status};
    if (status == status_unavailable) {
        refused->response->headers.push_back({.name = "Retry-After", .value = std::string{retry_after_seconds}});
    }
    pending_.push_back(refused);
    flush();
}

void caller_connection::flush() {
    while (handle_ && !closing_ && !pending_.empty() && pending_.front()->response) {
        const auto answered = pending_.front();
        pending_.pop_front();
        const auto last = pending_.empty() && !reading_;
        write(*answered, last);
        if (last) {
            closing_ = true;
        }
    }
    if (!handle_ || !pending_.empty()) {
        return;
    }
    schedule_timeout();
    if (!closing_) {
        resume_reading();
    }
}

void caller_connection::resume_reading() {
    if (!handle_ || (bufferevent_get_enabled(handle_.get()) & EV_READ) != 0 || !accepts_requests()) {
        return;
    }
    bufferevent_enable(handle_.get(), EV_READ);
    loop_.defer([this, alive = std::weak_ptr<bool>{alive_}] {
        if (const auto connected = alive.lock(); connected && *connected) {
            on_readable();
        }
    });
}

void caller_connection::write(const pending_response& pending, const bool last) {
    const auto& response = *pending.response;
    std::string head{"HTTP/1.1 "};
    head.append(std::to_string(response.status)).append(" ").append(reason_phrase(response.status)).append("\r\n");
    for (const auto& header : response.headers) {
        head.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (!has_no_body(response.status)) {
        head.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    }
    head.append(last ? "Connection: close\r\n\r\n" : "\r\n");
    if (unwritten_bytes() == 0) {
        response_started_ = loop_.now().steady;
        last_progress_ = response_started_;
    }
    last_response_bytes_ = head.size() + response.body.size();
    bufferevent_write(handle_.get(), head.data(), head.size());
    if (pending.head_request || has_no_body(response.status)) {
        return;
    }
    if (response.body.size() <= max_copied_body_bytes) {
        bufferevent_write(handle_.get(), response.body.str().data(), response.body.size());
    } else {
        append_body(bufferevent_get_output(handle_.get()), response.body);
    }
}

void caller_connection::on_written() {
    // libevent also calls this once for a new connection, possibly while a queued response is unwritten.
    if (closing_ && unwritten_bytes() == 0) {
        finish_writing();
    } else if (!closing_) {
        resume_reading();
    }
}

void caller_connection::finish_writing() {
    if (!handle_ || lingering_) {
        return;
    }
    lingering_ = true;
    shutdown(bufferevent_getfd(handle_.get()), SHUT_WR);
    bufferevent_enable(handle_.get(), EV_READ);
    timeout_.schedule_after(linger_period);
}

void caller_connection::on_disconnected() {
    for (const auto& waiting : std::exchange(pending_, {})) {
        if (waiting->exchange) {
            waiting->exchange->notify_disconnect();
        }
    }
    close();
}

// The timer is not moved at each byte, so it may expire before the deadline.
void caller_connection::on_timeout() {
    if (lingering_) {
        close();
        return;
    }
    const auto due = deadline();
    if (!due) {
        return;
    }
    if (loop_.now().steady < *due) {
        timeout_.schedule_at(*due);
    } else if (parser_.inside() && reading_) {
        reject(status_timeout);
    } else {
        close();
    }
}

std::optional<steady_time> caller_connection::deadline() const {
    if (parser_.inside() && reading_) {
        return parser_.headers_complete() ? last_progress_ + options_.limits.idle_timeout
                                          : request_started_ + options_.limits.header_timeout;
    }
    return pending_.empty() ? std::optional{last_progress_ + options_.limits.idle_timeout} : std::nullopt;
}

void caller_connection::schedule_timeout() {
    if (const auto due = deadline(); due && !lingering_) {
        timeout_.schedule_at(*due);
    }
}

void caller_connection::close() {
    timeout_.cancel();
    handle_.reset();
    options_.on_closed();
}

} // namespace goldcrestwell
