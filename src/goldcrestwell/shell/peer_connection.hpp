#ifndef GOLDCRESTWELL_SHELL_PEER_CONNECTION_HPP
#define GOLDCRESTWELL_SHELL_PEER_CONNECTION_HPP

#include "goldcrestwell/codec/codec_reason.hpp"
#include "goldcrestwell/codec/frame_splitter.hpp"
#include "goldcrestwell/codec/wire_limits.hpp"
#include "goldcrestwell/core/message/message_body.hpp"
#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace goldcrestwell {

/**
 * @brief Memory and hooks of a connection.
 *
 * No hook is called after `on_closed`, which must defer destroying the connection.
 */
struct peer_connection_options {
    /** @brief Budget for large frames; if null, only their size limit applies. */
    std::shared_ptr<memory_budget> memory;
    /** @brief Maximum size of received frames in bytes, until `set_frame_limit` is called. */
    std::size_t max_frame_bytes{goldcrestwell::max_frame_bytes};
    /** @brief Called for each complete frame body; returns false to close the connection. */
    std::function<bool(std::string_view body)> on_frame;
    /** @brief Called if the connection closes or is refused; the reason is `none` unless invalid data arrived. */
    std::function<void(codec_reason reason)> on_closed;
    /** @brief Called when most of the output has been written, while `watch_output` is on. */
    std::function<void()> on_drained;
};

/** @brief TCP connection to another node that carries frames. */
class peer_connection {
public:
    using size_type = std::size_t;

    /** @brief Starts connecting to a node. */
    peer_connection(event_loop& loop, const endpoint& peer, peer_connection_options options);
    /** @brief Takes ownership of an accepted socket. */
    peer_connection(event_loop& loop, int descriptor, peer_connection_options options);

    /** @brief Sends a frame body, preceded by its length. */
    void send(std::string frame);
    /** @brief Sends a frame that consists of a head and of a part of a body. */
    void send(std::string_view head, const message_body& body, size_type offset, size_type size);
    void set_frame_limit(const size_type bytes) noexcept { splitter_.set_limit(bytes); }
    /** @brief Sets whether `on_drained` is called. */
    void watch_output(bool watch);
    /** @brief Returns the number of received bytes that are no complete frame yet. */
    [[nodiscard]] size_type incomplete_bytes() const noexcept { return splitter_.pending(); }
    [[nodiscard]] size_type unwritten_bytes() const noexcept;
    /** @brief Checks whether received bytes are being handled. */
    [[nodiscard]] bool reading() const noexcept { return reading_; }

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
    void write_prefix(size_type frame_bytes);
    void read_frames();
    /** @brief Handles the complete frames; returns why the connection must be closed, or `none`. */
    [[nodiscard]] codec_reason handle_frames();
    void fail(codec_reason reason);

    peer_connection_options options_;
    frame_splitter splitter_;
    std::unique_ptr<bufferevent, handle_deleter> handle_;
    bool watches_output_{};
    bool reading_{};
    std::uint64_t queued_bytes_{};
    std::uint64_t flushed_at_close_{};
};

} // namespace goldcrestwell

#endif
