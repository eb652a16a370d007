#include "platform/raw_upstream.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace goldcrestwell::test {

namespace {

constexpr std::string_view head_end{"\r\n\r\n"};
constexpr std::string_view id_header{"Goldcrestwell-Request-Id: "};

std::string id_of(const std::string& head) {
    const auto begin = head.find(id_header);
    if (begin == std::string::npos) {
        return {};
    }
    const auto value = begin + id_header.size();
    return head.substr(value, head.find('\r', value) - value);
}

} // namespace

void raw_upstream::connection::write(const std::string_view bytes) const {
    bufferevent_write(handle_, bytes.data(), bytes.size());
}

void raw_upstream::connection::write_without_end(std::string bytes) const {
    auto& state = owner_.connections_.at(handle_);
    state.endless = std::move(bytes);
    write(state.endless);
}

void raw_upstream::connection::stop_reading() const {
    bufferevent_disable(handle_, EV_READ);
}

void raw_upstream::connection::reset() const {
    owner_.connections_.at(handle_).reset = true;
    owner_.close(handle_);
}

void raw_upstream::connection::write_and_close(const std::string_view bytes) const {
    owner_.connections_.at(handle_).close = true;
    write(bytes);
}

void raw_upstream::connection::write_and_reset(const std::string_view bytes) const {
    owner_.connections_.at(handle_).reset = true;
    write_and_close(bytes);
}

raw_upstream::raw_upstream(event_loop& loop, const std::uint16_t port, request_hook on_request)
    : loop_{loop}, on_request_{std::move(on_request)} {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const auto accepted = [](evconnlistener* /*unused*/, const evutil_socket_t descriptor, sockaddr* /*unused*/,
                             int /*unused*/, void* argument) {
        static_cast<raw_upstream*>(argument)->accept(descriptor);
    };
    listener_ = evconnlistener_new_bind(loop.base(), accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                        reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

raw_upstream::~raw_upstream() {
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
    while (!connections_.empty()) {
        close(connections_.begin()->first);
    }
}

void raw_upstream::accept(const int descriptor) {
    auto* handle = bufferevent_socket_new(loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
    connections_.emplace(handle, connection_state{.number = accepted_connections_++});
    const auto readable = [](bufferevent* source, void* argument) {
        static_cast<raw_upstream*>(argument)->read(source);
    };
    const auto written_all = [](bufferevent* source, void* argument) {
        static_cast<raw_upstream*>(argument)->written(source);
    };
    const auto closed = [](bufferevent* source, short /*unused*/, void* argument) {
        static_cast<raw_upstream*>(argument)->close(source);
    };
    bufferevent_setcb(handle, readable, written_all, closed, this);
    bufferevent_enable(handle, EV_READ | EV_WRITE);
}

void raw_upstream::read(bufferevent* handle) {
    std::array<char, 4'096> chunk{};
    auto& input = connections_.at(handle).input;
    for (auto size = bufferevent_read(handle, chunk.data(), chunk.size()); size > 0;
         size = bufferevent_read(handle, chunk.data(), chunk.size())) {
        input.append(chunk.data(), size);
    }
    if (const auto end = input.find(head_end); end != std::string::npos) {
        const auto head = input.substr(0, end);
        input.erase(0, end + head_end.size());
        ++requests_;
        on_request_(id_of(head), connection{*this, handle});
    }
}

void raw_upstream::written(bufferevent* handle) {
    const auto& state = connections_.at(handle);
    if (state.close) {
        close(handle);
    } else if (!state.endless.empty()) {
        bufferevent_write(handle, state.endless.data(), state.endless.size());
    }
}

void raw_upstream::close(bufferevent* handle) {
    if (connections_.at(handle).reset) {
        const linger discard{.l_onoff = 1, .l_linger = 0};
        setsockopt(bufferevent_getfd(handle), SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    }
    connections_.erase(handle);
    bufferevent_free(handle);
}

} // namespace goldcrestwell::test
