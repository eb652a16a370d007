#include "goldcrestwell/shell/gossip_socket.hpp"

#include "goldcrestwell/codec/datagram_codec.hpp"
#include "goldcrestwell/codec/wire_limits.hpp"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace goldcrestwell {

namespace {

/** @brief Maximum number of datagrams that are read before the loop handles other events. */
constexpr int max_datagrams_per_event = 64;

sockaddr_in to_address(const node_id id) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(id.address());
    address.sin_port = htons(id.port());
    return address;
}

} // namespace

void gossip_socket::event_deleter::operator()(event* handle) const noexcept {
    event_free(handle);
}

gossip_socket::gossip_socket(event_loop& loop, gossip_socket_options options)
    : loop_{loop}, options_{std::move(options)} {}

gossip_socket::~gossip_socket() {
    read_event_.reset();
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

bool gossip_socket::start() {
    descriptor_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = to_address(options_.self);
    if (descriptor_ < 0 || ::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        return false;
    }
    const auto on_readable = [](evutil_socket_t /*unused*/, short /*unused*/, void* argument) {
        static_cast<gossip_socket*>(argument)->receive();
    };
    read_event_.reset(event_new(loop_.base(), descriptor_, EV_READ | EV_PERSIST, on_readable, this));
    return event_add(read_event_.get(), nullptr) == 0;
}

void gossip_socket::send(const node_id to, const datagram& message) {
    const auto bytes = encode(message);
    const auto address = to_address(to);
    const auto sent = ::sendto(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                               reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (sent > 0) {
        bytes_sent_ += static_cast<std::uint64_t>(sent);
    }
}

void gossip_socket::receive() {
    std::array<char, max_datagram_bytes + 1> bytes{};
    for (int received = 0; received < max_datagrams_per_event; ++received) {
        sockaddr_in source{};
        socklen_t length = sizeof(source);
        const auto count =
            ::recvfrom(descriptor_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&source), &length);
        if (count < 0) {
            return;
        }
        datagram_decoder decoder;
        const auto message = decoder.decode({bytes.data(), static_cast<std::size_t>(count)});
        if (!message) {
            const auto too_large = decoder.last_reason() == codec_reason::too_large;
            options_.on_drop(too_large ? drop_reason::datagram_too_large : drop_reason::datagram_unreadable);
            continue;
        }
        if (message->sender != node_id{ntohl(source.sin_addr.s_addr), ntohs(source.sin_port)}) {
            options_.on_drop(drop_reason::unknown_sender);
            continue;
        }
        options_.on_datagram(*message);
    }
}

} // namespace goldcrestwell
