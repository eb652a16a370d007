#ifndef GOLDCRESTWELL_SHELL_GOSSIP_SOCKET_HPP
#define GOLDCRESTWELL_SHELL_GOSSIP_SOCKET_HPP

#include "goldcrestwell/core/common/drop_reason.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/datagram.hpp"
#include "goldcrestwell/shell/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>

struct event;

namespace goldcrestwell {

/** @brief Local address and hooks of a gossip socket. */
struct gossip_socket_options {
    node_id self;
    std::function<void(const datagram& message)> on_datagram;
    /** @brief Called when a received datagram is dropped. */
    std::function<void(drop_reason reason)> on_drop;
};

/** @brief Sends and receives membership datagrams over UDP. */
class gossip_socket {
public:
    gossip_socket(event_loop& loop, gossip_socket_options options);
    ~gossip_socket();

    gossip_socket(const gossip_socket&) = delete;
    gossip_socket& operator=(const gossip_socket&) = delete;

    /** @brief Opens and binds the socket; returns false on failure. */
    [[nodiscard]] bool start();

    /** @brief Sends a datagram, which is lost if the socket buffer is full; the protocol tolerates this. */
    void send(node_id to, const datagram& message);

    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return bytes_sent_; }

private:
    struct event_deleter {
        void operator()(event* handle) const noexcept;
    };

    void receive();

    event_loop& loop_;
    gossip_socket_options options_;
    int descriptor_{-1};
    std::uint64_t bytes_sent_{};
    std::unique_ptr<event, event_deleter> read_event_;
};

} // namespace goldcrestwell

#endif
