#include "goldcrestwell/shell/peer_connection.hpp"

#include "goldcrestwell/shell/body_output.hpp"
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
// Larger frames are passed to the output buffer without copying them.
constexpr std::size_t max_copied_bytes = 4'096;
// Size of the output at which further parts of bodies are queued.
constexpr std::size_t drained_bytes = 32'768;

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

peer_connection::peer_connection(event_loop& loop, const endpoint& peer, peer_connection_options options)
    : options_{std::move(options)}, splitter_{options_.max_frame_bytes, memory_reservation{options_.memory}},
      handle_{bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)} {
    install_callbacks();
    auto address = to_address(peer);
    bufferevent_socket_connect(handle_.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address));
    tune_stream(bufferevent_getfd(handle_.get()));
    limit_unsent_bytes(bufferevent_getfd(handle_.get()));
}

peer_connection::peer_connection(event_loop& loop, const int descriptor, peer_connection_options options)
    : options_{std::move(options)}, splitter_{options_.max_frame_bytes, memory_reservation{options_.memory}},
      handle_{bufferevent_socket_new(loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)} {
    install_callbacks();
    tune_stream(descriptor);
    limit_unsent_bytes(descriptor);
}

void peer_connection::install_callbacks() {
    const auto handle_readable = [](bufferevent* /*unused*/, void* argument) {
        static_cast<peer_connection*>(argument)->read_frames();
    };
    const auto handle_drained = [](bufferevent* /*unused*/, void* argument) {
        static_cast<peer_connection*>(argument)->options_.on_drained();
    };
    const auto handle_event = [](bufferevent* /*unused*/, const short events, void* argument) {
        auto& self = *static_cast<peer_connection*>(argument);
        if ((events & BEV_EVENT_CONNECTED) == 0) {
            self.fail(codec_reason::none);
        }
    };
    const bufferevent_data_cb written = watches_output_ ? bufferevent_data_cb{handle_drained} : nullptr;
    bufferevent_setcb(handle_.get(), handle_readable, written, handle_event, this);
    bufferevent_setwatermark(handle_.get(), EV_WRITE, drained_bytes, 0);
    bufferevent_enable(handle_.get(), EV_READ | EV_WRITE);
}

void peer_connection::watch_output(const bool watch) {
    if (std::exchange(watches_output_, watch) != watch && !closed()) {
        install_callbacks();
    }
}

void peer_connection::write_prefix(const size_type frame_bytes) {
    const auto prefix = frame_prefix(frame_bytes);
    bufferevent_write(handle_.get(), prefix.data(), prefix.size());
    queued_bytes_ += prefix.size() + frame_bytes;
}

void peer_connection::send(std::string frame) {
    if (closed()) {
        return;
    }
    write_prefix(frame.size());
    if (frame.size() <= max_copied_bytes) {
        bufferevent_write(handle_.get(), frame.data(), frame.size());
    } else {
        append_body(bufferevent_get_output(handle_.get()), message_body{std::move(frame)});
    }
}

void peer_connection::send(const std::string_view head, const message_body& body, const size_type offset,
                           const size_type size) {
    if (closed()) {
        return;
    }
    write_prefix(head.size() + size);
    bufferevent_write(handle_.get(), head.data(), head.size());
    append_body(bufferevent_get_output(handle_.get()), body, offset, size);
}

peer_connection::size_type peer_connection::unwritten_bytes() const noexcept {
    return closed() ? 0 : evbuffer_get_length(bufferevent_get_output(handle_.get()));
}

std::uint64_t peer_connection::flushed_bytes() const noexcept {
    return closed() ? flushed_at_close_ : queued_bytes_ - unwritten_bytes();
}

void peer_connection::close() {
    flushed_at_close_ = flushed_bytes();
    handle_.reset();
    if (!reading_) {
        splitter_ = frame_splitter{};
    }
}

void peer_connection::read_frames() {
    std::array<char, read_chunk_bytes> chunk{};
    reading_ = true;
    for (auto count = bufferevent_read(handle_.get(), chunk.data(), chunk.size()); count > 0;
         count = closed() ? 0 : bufferevent_read(handle_.get(), chunk.data(), chunk.size())) {
        splitter_.append({chunk.data(), count});
        if (const auto reason = handle_frames(); reason != codec_reason::none) {
            fail(reason);
        }
    }
    reading_ = false;
    if (closed()) {
        splitter_ = frame_splitter{};
    }
}

codec_reason peer_connection::handle_frames() {
    for (auto frame = splitter_.next(); frame && !closed(); frame = splitter_.next()) {
        if (!options_.on_frame(*frame)) {
            return codec_reason::malformed;
        }
    }
    return closed() ? codec_reason::none : splitter_.last_reason();
}

void peer_connection::fail(const codec_reason reason) {
    if (closed()) {
        return;
    }
    close();
    options_.on_closed(reason);
}

} // namespace goldcrestwell
