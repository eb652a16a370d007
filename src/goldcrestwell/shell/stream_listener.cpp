#include "goldcrestwell/shell/stream_listener.hpp"

#include <arpa/inet.h>
#include <event2/listener.h>

#include <chrono>
#include <utility>

namespace goldcrestwell {

namespace {

constexpr int listen_backlog = 1'024;
constexpr std::chrono::milliseconds pause_after_error{100};

} // namespace

void stream_listener::listener_deleter::operator()(evconnlistener* handle) const noexcept {
    evconnlistener_free(handle);
}

stream_listener::stream_listener(event_loop& loop, endpoint address, std::function<void(int descriptor)> on_accept)
    : loop_{loop}, address_{std::move(address)}, on_accept_{std::move(on_accept)},
      resume_timer_{loop, [this](time_sample) {
                        evconnlistener_enable(handle_.get());
                    }} {}

bool stream_listener::start() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(address_.port);
    if (inet_pton(AF_INET, address_.address.c_str(), &address.sin_addr) != 1) {
        return false;
    }
    const auto accepted = [](evconnlistener* /*unused*/, const evutil_socket_t descriptor, sockaddr* /*unused*/,
                             int /*unused*/, void* argument) {
        static_cast<stream_listener*>(argument)->on_accept_(descriptor);
    };
    handle_.reset(evconnlistener_new_bind(loop_.base(), accepted, this,
                                          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                          listen_backlog, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    if (!handle_) {
        return false;
    }
    evconnlistener_set_error_cb(handle_.get(), [](evconnlistener* /*unused*/, void* argument) {
        static_cast<stream_listener*>(argument)->pause();
    });
    return true;
}

void stream_listener::stop() {
    resume_timer_.cancel();
    handle_.reset();
}

// Without a free descriptor the socket stays readable, and the loop would spin.
void stream_listener::pause() {
    evconnlistener_disable(handle_.get());
    resume_timer_.schedule_after(pause_after_error);
}

} // namespace goldcrestwell
