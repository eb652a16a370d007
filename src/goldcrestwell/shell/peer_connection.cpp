#include "goldcrestwell/shell/peer_connection.hpp"

#include "goldcrestwell/shell/socket_options.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <array>
#include <utility>

namespace goldcrestwell {

namespace {

constexpr std::size_t read_chunk_bytes = 65'536;

sockaddr_in to_address(const endpoint& peer) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(peer.port);
    inet_pton(AF_INET, peer.address.c_str(), &address.sin_addr);
    return address;
}

} // namespace

void peer_connection::handle_deleter::operator()(bufferevent* handle) const noexcept {
    bufferevent_free(handle);
}

peer_connection::peer_connection(event_loop& loop, const endpoint& peer, peer_connection_hooks hooks)
    : hooks_{std::move(hooks)}, handle_{bufferevent_socket_new(loop.base(), -1,
                                                               BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)} {
    install_callbacks();
    auto address = to_address(peer);
    bufferevent_socket_connect(handle_.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address));
    tune_stream(bufferevent_getfd(handle_.get()));
}

peer_connection::peer_connection(event_loop& loop, const int descriptor, peer_connection_hooks hooks)
    : hooks_{std::move(hooks)}, handle_{bufferevent_socket_new(loop.base(), descriptor,
                                                               BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)} {
    install_callbacks();
    tune_stream(descriptor);
}

void peer_connection::install_callbacks() {
    const auto handle_readable = [](bufferevent* /*unused*/, void* argument) {
        static_cast<peer_connection*>(argument)->read_frames();
    };
    const auto handle_event = [](bufferevent* /*unused*/, const short events, void* argument) {
        auto& self = *static_cast<peer_connection*>(argument);
        if ((events & BEV_EVENT_CONNECTED) == 0) {
            self.fail(codec_reason::none);
        }
    };
    bufferevent_setcb(handle_.get(), handle_readable, nullptr, handle_event, this);
    bufferevent_enable(handle_.get(), EV_READ | EV_WRITE);
}

void peer_connection::send(const std::string_view body) {
    if (closed()) {
        return;
    }
    const auto prefix = frame_prefix(body.size());
    bufferevent_write(handle_.get(), prefix.data(), prefix.size());
    bufferevent_write(handle_.get(), body.data(), body.size());
    queued_bytes_ += prefix.size() + body.size();
}

std::uint64_t peer_connection::flushed_bytes() const noexcept {
    return closed() ? flushed_at_close_ : queued_bytes_ - evbuffer_get_length(bufferevent_get_output(handle_.get()));
}

void peer_connection::close() {
    flushed_at_close_ = flushed_bytes();
    handle_.reset();
}

void peer_connection::read_frames() {
    std::array<char, read_chunk_bytes> chunk{};
    for (auto count = bufferevent_read(handle_.get(), chunk.data(), chunk.size()); count > 0;
         count = closed() ? 0 : bufferevent_read(handle_.get(), chunk.data(), chunk.size())) {
        splitter_.append({chunk.data(), count});
        for (auto body = splitter_.next(); body; body = splitter_.next()) {
            if (!hooks_.on_frame(*body)) {
                fail(codec_reason::malformed);
            }
            if (closed()) {
                return;
            }
        }
        if (splitter_.last_reason() != codec_reason::none) {
            fail(splitter_.last_reason());
            return;
        }
    }
}

void peer_connection::fail(const codec_reason reason) {
    if (closed()) {
        return;
    }
    close();
    hooks_.on_closed(reason);
}

} // namespace goldcrestwell
