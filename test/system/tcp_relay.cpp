#include "system/tcp_relay.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <algorithm>
#include <stdexcept>
#include <string>

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
        bufferevent_disable(entry.source_side.get(), EV_READ | EV_WRITE);
        bufferevent_disable(entry.target_side.get(), EV_READ | EV_WRITE);
    }
}

void tcp_relay::reset_open_connections() {
    constexpr linger at_once{.l_onoff = 1, .l_linger = 0};
    for (const auto& entry : pairs_) {
        *entry.alive = false;
        for (auto* side : {entry.source_side.get(), entry.target_side.get()}) {
            setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        }
    }
    pairs_.clear();
}

void tcp_relay::hold(const relay_way way, const bool held) {
    (way == relay_way::to_target ? hold_to_target_ : hold_to_source_) = held;
    for (const auto& entry : pairs_) {
        apply_hold(entry);
    }
}

void tcp_relay::apply_hold(const connection_pair& entry) const {
    const auto set_reading = [&entry](bufferevent* side, const bool held) {
        if (held || entry.silent) {
            bufferevent_disable(side, EV_READ);
        } else {
            bufferevent_enable(side, EV_READ);
        }
    };
    set_reading(entry.source_side.get(), hold_to_target_);
    set_reading(entry.target_side.get(), hold_to_source_);
}

void tcp_relay::accept(const int descriptor) {
    ++accepted_;
    auto& added = pairs_.emplace_back();
    added.owner = this;
    added.source_side.reset(bufferevent_socket_new(loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE));
    added.target_side.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    auto address = loopback(target_);
    for (auto* side : {added.source_side.get(), added.target_side.get()}) {
        bufferevent_setcb(side, on_read, nullptr, on_event, &added);
        bufferevent_enable(side, EV_WRITE);
    }
    apply_hold(added);
    bufferevent_socket_connect(added.target_side.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

void tcp_relay::on_read(bufferevent* source, void* argument) {
    const auto& entry = *static_cast<connection_pair*>(argument);
    auto* other = source == entry.source_side.get() ? entry.target_side.get() : entry.source_side.get();
    if (!entry.silent) {
        entry.owner->forward(source, entry, other);
    }
}

void tcp_relay::forward(bufferevent* source, const connection_pair& entry, bufferevent* other) {
    if (delay_ == std::chrono::milliseconds{} && delayed_writes_.empty()) {
        bufferevent_write_buffer(other, bufferevent_get_input(source));
        return;
    }
    auto* input = bufferevent_get_input(source);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    const auto position = delayed_writes_.emplace(delayed_writes_.end());
    *position = std::make_unique<timer>(loop_, [this, position, other, alive = entry.alive, bytes](time_sample) {
        if (*alive) {
            bufferevent_write(other, bytes.data(), bytes.size());
        }
        // The timer owns this function and must not be freed before the function returns.
        loop_.defer([ended = std::shared_ptr<timer>{std::move(*position)}] {});
        delayed_writes_.erase(position);
    });
    // Keeps the order of the bytes when the delay is shortened.
    last_write_time_ = std::max(loop_.now().steady + delay_, last_write_time_ + std::chrono::microseconds{1});
    (*position)->schedule_at(last_write_time_);
}

void tcp_relay::on_event(bufferevent* /*unused*/, const short events, void* argument) {
    auto& entry = *static_cast<connection_pair*>(argument);
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        *entry.alive = false;
        entry.owner->pairs_.remove_if([&entry](const connection_pair& candidate) { return &candidate == &entry; });
    }
}

} // namespace goldcrestwell::test
