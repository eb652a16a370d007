#ifndef GOLDCRESTWELL_SHELL_PEER_CONNECTION_HPP
#define GOLDCRESTWELL_SHELL_PEER_CONNECTION_HPP

#include "goldcrestwell/codec/codec_reason.hpp"
#include "goldcrestwell/codec/frame_splitter.hpp"
#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

struct bufferevent;

namespace goldcrestwell {

/** @brief Hooks of a connection. No hook is called after `on_closed`, which must defer destroying the connection. */
struct peer_connection_hooks {
    /** @brief Called for each complete frame body; returns false to close the connection. */
    std::function<bool(std::string_view body)> on_frame;
    /** @brief Called if the connection closes or is refused; the reason is `none` unless invalid data arrived. */
    std::function<void(codec_reason reason)> on_closed;
};

/** @brief TCP connection to another node that carries frames. */
class peer_connection {
public:
    using size_type = std::size_t;

    /** @brief Starts connecting to a node. */
    peer_connection(event_loop& loop, const endpoint& peer, peer_connection_hooks hooks);
    /** @brief Takes ownership of an accepted socket. */
    peer_connection(event_loop& loop, int descriptor, peer_connection_hooks hooks);

    /** @brief Sends a frame body, preceded by its length. */
    void send(std::string_view body);

    /** @brief Returns the number of bytes queued by `send`, including the length prefixes. */
    [[nodiscard]] std::uint64_t queued_bytes() const noexcept { return queued_bytes_; }

    /** @brief Returns the number of queued bytes passed to the kernel; keeps its value after the connection closes. */
    [[nodiscard]] std::uint64_t flushed_bytes() const noexcept;

    /** @brief Closes the connection without calling any hook. */
    void close();

    [[nodiscard]] bool closed() const noexcept { return handle_ == nullptr; }

private:
    struct handle_deleter {
        void operator()(bufferevent* handle) const noexcept;
    };

    void install_callbacks();
    void read_frames();
    void fail(codec_reason reason);

    peer_connection_hooks hooks_;
    frame_splitter splitter_;
    std::unique_ptr<bufferevent, handle_deleter> handle_;
    std::uint64_t queued_bytes_{};
    std::uint64_t flushed_at_close_{};
};

} // namespace goldcrestwell

#endif
