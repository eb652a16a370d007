#include "system/tcp_relay.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <stdexcept>

namespace goldcrestwell::test {

namespace {

sockaddr_in loopback(const std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

} // namespace

void tcp_relay::handle_deleter::operator()(bufferevent* handle) const noexcept {
    bufferevent_free(handle);
}

void tcp_relay::handle_deleter::operator()(evconnlistener* handle) const noexcept {
    evconnlistener_free(handle);
}

tcp_relay::tcp_relay(event_loop& loop, const std::uint16_t port, const std::uint16_t target)
    : loop_{loop}, target_{target} {
    auto address = loopback(port);
    const auto accepted = [](evconnlistener* /*unused*/, evutil_socket_t descriptor, sockaddr* /*unused*/,
                             int /*unused*/, void* argument) {
        static_cast<tcp_relay*>(argument)->accept(descriptor);
    };
    listener_.reset(evconnlistener_new_bind(loop.base(), accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                            reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    if (listener_ == nullptr) {
        throw std::runtime_error{"cannot bind the relay"};
    }
}

tcp_relay::~tcp_relay() = default;

void tcp_relay::silence_open_connections() {
    for (auto& entry : pairs_) {
        entry.silent = true;
        bufferevent_disable(entry.front.get(), EV_READ | EV_WRITE);
        bufferevent_disable(entry.back.get(), EV_READ | EV_WRITE);
    }
}

void tcp_relay::accept(const int descriptor) {
    ++accepted_;
    auto& added = pairs_.emplace_back();
    added.owner = this;
    added.front.reset(bufferevent_socket_new(loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE));
    added.back.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    auto address = loopback(target_);
    for (auto* side : {added.front.get(), added.back.get()}) {
        bufferevent_setcb(side, on_read, nullptr, on_event, &added);
        bufferevent_enable(side, EV_READ | EV_WRITE);
    }
    bufferevent_socket_connect(added.back.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

void tcp_relay::on_read(bufferevent* source, void* argument) {
    const auto& entry = *static_cast<pair*>(argument);
    auto* other = source == entry.front.get() ? entry.back.get() : entry.front.get();
    if (!entry.silent) {
        bufferevent_write_buffer(other, bufferevent_get_input(source));
    }
}

void tcp_relay::on_event(bufferevent* /*unused*/, const short what, void* argument) {
    auto& entry = *static_cast<pair*>(argument);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        entry.owner->pairs_.remove_if([&entry](const pair& candidate) { return &candidate == &entry; });
    }
}

} // namespace goldcrestwell::test
