#ifndef GOLDCRESTWELL_SHELL_PEER_TRANSPORT_HPP
#define GOLDCRESTWELL_SHELL_PEER_TRANSPORT_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/common/drop_reason.hpp"
#include "goldcrestwell/core/common/incarnation.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/peer_message.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/peer_connection.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>

struct evconnlistener;
struct sockaddr;

namespace goldcrestwell {

/** @brief Identity, limits and hooks of a peer transport. */
struct peer_transport_options {
    node_id self;
    incarnation start_incarnation;
    /** @brief Maximum number of open connections; further incoming ones are refused. */
    std::size_t max_connections{20'000};
    /** @brief Time without frames after which a connection is closed. */
    std::chrono::milliseconds idle_timeout{120'000};
    /** @brief Called for each frame from a peer that has sent its hello. */
    std::function<void(node_id from, const peer_message& message)> on_message;
    /** @brief Called when the last connection with a peer has closed. */
    std::function<void(node_id peer)> on_lost;
    /** @brief Called when a connection closed before any byte of an attempt's request was written. */
    std::function<void(const attempt_id& id)> on_not_sent;
    /** @brief Called when a connection or frame is dropped. */
    std::function<void(drop_reason reason)> on_drop;
};

/**
 * @brief Exchanges frames with other nodes over TCP.
 *
 * Two nodes normally share one connection, which the node that sends first opens.
 */
class peer_transport {
public:
    using size_type = std::size_t;

    peer_transport(event_loop& loop, peer_transport_options options);
    ~peer_transport();

    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    /** @brief Starts listening; returns false if the socket could not be bound. */
    [[nodiscard]] bool start();

    /** @brief Sends a frame, opening a connection if necessary. */
    void send(node_id to, const peer_message& message);

    /** @brief Closes all connections with a peer and opens a new one. */
    void replace(node_id peer);

    [[nodiscard]] size_type connections() const noexcept { return links_.size(); }
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return bytes_sent_; }

private:
    struct unsent_request {
        attempt_id id;
        /** @brief Number of bytes that were queued on the connection before the request. */
        std::uint64_t begin{};
    };
    struct link {
        node_id peer;
        bool outbound{};
        steady_time last_used{};
        /** @brief Requests of which no byte has been passed to the kernel, oldest first. */
        std::deque<unsent_request> unsent;
        std::unique_ptr<peer_connection> connection;
    };
    using link_number = std::uint64_t;

    void accept(int descriptor);
    link& open_link(node_id peer);
    link* find_link(node_id peer);
    [[nodiscard]] peer_connection_hooks make_hooks(link_number number);
    bool handle_frame(link_number number, std::string_view body);
    bool handle_hello(link_number number, const hello& hello_message);
    void handle_close(link_number number, codec_reason reason);
    void close_link(link_number number);
    static void remove_sent_requests(link& target);
    void close_idle();

    struct listener_deleter {
        void operator()(evconnlistener* handle) const noexcept;
    };

    event_loop& loop_;
    peer_transport_options options_;
    std::map<link_number, link> links_;
    /** @brief Most recent open connection with each peer. */
    std::map<node_id, link_number> current_links_;
    link_number last_number_{};
    std::uint64_t bytes_sent_{};
    timer idle_check_;
    std::unique_ptr<evconnlistener, listener_deleter> listener_;
};

} // namespace goldcrestwell

#endif
