#ifndef GOLDCRESTWELL_TEST_SHELL_CANNED_SERVER_HPP
#define GOLDCRESTWELL_TEST_SHELL_CANNED_SERVER_HPP

#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/event_loop.hpp"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <cstring>
#include <string>
#include <utility>

namespace goldcrestwell::test {

/** @brief TCP server on a free loopback port that replies to any input with fixed bytes. */
class canned_server {
public:
    enum class ending : std::uint8_t { stay_open, close };

    canned_server(event_loop& loop, std::string response, const ending end)
        : loop_{loop}, response_{std::move(response)}, end_{end} {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener_ = evconnlistener_new_bind(loop.base(), accept, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                            reinterpret_cast<sockaddr*>(&address), sizeof(address));
        socklen_t length = sizeof(address);
        getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&address), &length);
        port_ = ntohs(address.sin_port);
    }
    ~canned_server() { evconnlistener_free(listener_); }

    canned_server(const canned_server&) = delete;
    canned_server& operator=(const canned_server&) = delete;

    [[nodiscard]] endpoint address() const { return {.address = "127.0.0.1", .port = port_}; }
    [[nodiscard]] std::size_t requests() const noexcept { return requests_; }

private:
    static void accept(evconnlistener* /*unused*/, evutil_socket_t descriptor, sockaddr* /*unused*/, int /*unused*/,
                       void* argument) {
        auto& self = *static_cast<canned_server*>(argument);
        auto* connection = bufferevent_socket_new(self.loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(connection, read, nullptr, closed, argument);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }
    static void read(bufferevent* connection, void* argument) {
        auto& self = *static_cast<canned_server*>(argument);
        ++self.requests_;
        bufferevent_disable(connection, EV_READ);
        if (self.response_.empty() && self.end_ == ending::close) {
            bufferevent_free(connection);
            return;
        }
        bufferevent_setcb(connection, nullptr, written, closed, argument);
        bufferevent_write(connection, self.response_.data(), self.response_.size());
    }
    static void written(bufferevent* connection, void* argument) {
        if (static_cast<canned_server*>(argument)->end_ == ending::close) {
            bufferevent_free(connection);
        }
    }
    static void closed(bufferevent* connection, short /*unused*/, void* /*unused*/) { bufferevent_free(connection); }

    event_loop& loop_;
    std::string response_;
    ending end_;
    evconnlistener* listener_{};
    std::uint16_t port_{};
    std::size_t requests_{};
};

} // namespace goldcrestwell::test

#endif
