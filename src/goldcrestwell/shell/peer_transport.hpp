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

/** @brief Identity, limits and hooks of the transport. */
struct peer_transport_options {
    node_id self;
    incarnation start_incarnation;
    /** @brief Most open connections; further ones are refused. */
    std::size_t max_connections{20'000};
    /** @brief A connection without a frame for this long is closed. */
    std::chrono::milliseconds idle_timeout{120'000};
    /** @brief A frame from a peer that has said hello. */
    std::function<void(node_id from, const peer_message& message)> on_message;
    /** @brief The last connection with a peer has closed. */
    std::function<void(node_id peer)> on_lost;
    /** @brief No byte of this attempt's request was written before its connection ended. */
    std::function<void(const attempt_id& id)> on_not_sent;
    /** @brief An input was discarded. */
    std::function<void(drop_reason reason)> on_drop;
};

/**
 * @brief Carries frames between nodes over TCP.
 *
 * There is normally one connection between two nodes, opened by the one that sends first and used by both.
 */
class peer_transport {
public:
    using size_type = std::size_t;

    peer_transport(event_loop& loop, peer_transport_options options);
    ~peer_transport();

    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    /** @return True if the listening socket could be bound. */
    [[nodiscard]] bool start();

    /** @brief Sends a frame, opening a connection if there is none. */
    void send(node_id to, const peer_message& message);

    /** @brief Closes every connection with a peer and opens a new one. */
    void replace(node_id peer);

    [[nodiscard]] size_type connections() const noexcept { return links_.size(); }
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return bytes_sent_; }

private:
    struct unsent_request {
        attempt_id id;
        /** @brief Bytes queued on the connection before the request. */
        std::uint64_t begin{};
    };
    struct link {
        node_id peer;
        bool outbound{};
        steady_time last_used{};
        /** @brief Attempts whose requests the kernel has not begun to take, oldest first. */
        std::deque<unsent_request> unsent;
        std::unique_ptr<peer_connection> connection;
    };
    using link_number = std::uint64_t;

    void accept(int descriptor);
    link& open(node_id peer);
    link* find(node_id peer);
    [[nodiscard]] peer_connection_hooks hooks_for(link_number number);
    bool on_frame(link_number number, std::string_view body);
    bool on_hello(link_number number, const hello& greeting);
    void on_closed(link_number number, codec_reason reason);
    void discard(link_number number);
    static void forget_sent(link& used);
    void close_idle();

    struct listener_deleter {
        void operator()(evconnlistener* handle) const noexcept;
    };

    event_loop& loop_;
    peer_transport_options options_;
    std::map<link_number, link> links_;
    /** @brief Newest usable connection with each peer. */
    std::map<node_id, link_number> current_;
    link_number last_number_{};
    std::uint64_t bytes_sent_{};
    timer idle_check_;
    std::unique_ptr<evconnlistener, listener_deleter> listener_;
};

} // namespace goldcrestwell

#endif
