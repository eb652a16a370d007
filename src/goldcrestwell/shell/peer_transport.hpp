#ifndef GOLDCRESTWELL_SHELL_PEER_TRANSPORT_HPP
#define GOLDCRESTWELL_SHELL_PEER_TRANSPORT_HPP

#include "goldcrestwell/codec/transfer_assembler.hpp"
#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/common/drop_reason.hpp"
#include "goldcrestwell/core/common/incarnation.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/message/peer_message.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/peer_connection.hpp"
#include "goldcrestwell/shell/stream_listener.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace goldcrestwell {

/** @brief Identity, limits and hooks of a peer transport. */
struct peer_transport_options {
    node_id self;
    incarnation start_incarnation;
    /** @brief Maximum number of open connections; further incoming ones are refused. */
    std::size_t max_connections{20'000};
    /** @brief Budget for connections and messages; if null, only the limits apply. */
    std::shared_ptr<memory_budget> memory;
    /** @brief Time without frames after which a connection is closed. */
    std::chrono::milliseconds idle_timeout{120'000};
    /** @brief Called for each frame from a peer that has sent its hello. */
    std::function<void(node_id from, const peer_message& message)> on_message;
    /** @brief Called for a request or a reply of an attempt for which there is no memory; it is without its body. */
    std::function<void(node_id from, const peer_message& message)> on_oversized;
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
 * Two nodes normally share one connection, which the node that sends first opens. Messages with a large body are sent
 * in parts, so that they delay other messages little and each node holds their body once.
 */
class peer_transport {
public:
    using size_type = std::size_t;

    peer_transport(event_loop& loop, peer_transport_options options);
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    /** @brief Starts listening; returns false if the socket could not be bound. */
    [[nodiscard]] bool start();

    /** @brief Sends a frame, opening a connection if necessary. */
    void send(node_id to, const peer_message& message);

    /** @brief Closes all connections with a peer and opens a new one. */
    void replace(node_id peer);

    /** @brief Closes a connection with an incomplete message; returns false if there is none without progress. */
    [[nodiscard]] bool reclaim();

    [[nodiscard]] size_type connections() const noexcept { return links_.size(); }
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return bytes_sent_; }

private:
    struct unsent_request {
        attempt_id id;
        /** @brief Number of bytes that were queued on the connection before the request. */
        std::uint64_t begin{};
    };
    /** @brief Message whose body is being sent. */
    struct outgoing_transfer {
        std::uint64_t number{};
        /** @brief Attempt that the message belongs to. */
        attempt_id id;
        bool is_request{};
        message_body body;
        size_type sent{};
    };
    struct link {
        node_id peer;
        bool outbound{};
        steady_time last_used{};
        /** @brief Memory of the connection and of its output. */
        memory_reservation memory;
        std::deque<outgoing_transfer> outgoing;
        transfer_assembler incoming;
        /** @brief Requests of which no byte has been passed to the kernel, oldest first. */
        std::deque<unsent_request> unsent;
        std::unique_ptr<peer_connection> connection;
    };
    using link_number = std::uint64_t;

    void accept(int descriptor);
    /** @brief Closes the oldest connection whose peer has not introduced itself; returns false if there is none. */
    bool close_unknown_peer();
    void close_silent_peers();
    link& open_link(node_id peer);
    link* find_link(node_id peer);
    [[nodiscard]] peer_connection_options make_options(link_number number);

    /** @brief Reserves memory for more output; returns false if there is too little. */
    [[nodiscard]] static bool reserve_output(link& target, size_type bytes);
    /** @brief Handles a message that cannot be sent for lack of memory. */
    void discard(link_number number, const peer_message& message);
    void begin_transfer(link_number number, link& target, const peer_message& message);
    void send_parts(link& target);
    void handle_drained(link_number number);
    /** @brief Stops sending the request of an attempt that has ended. */
    static void abort_transfer(link& target, const attempt_id& id);
    static void remove_sent_requests(link& target);

    bool handle_frame(link_number number, std::string_view frame);
    bool handle_transfer(link_number number, std::string_view frame);
    bool handle_hello(link_number number, const hello& hello_message);
    void deliver(link_number number, peer_message message);
    void handle_close(link_number number, codec_reason reason);
    /** @brief Closes a connection; returns true if it was the last one with its peer. */
    [[nodiscard]] bool remove_link(link_number number);
    /** @brief Closes a connection and reports the loss of its peer after the current event. */
    void drop_link(link_number number);
    void close_link(link_number number);
    void close_idle();

    event_loop& loop_;
    peer_transport_options options_;
    std::map<link_number, link> links_;
    /** @brief Most recent open connection with each peer. */
    std::map<node_id, link_number> current_links_;
    link_number last_number_{};
    std::uint64_t last_transfer_{};
    std::uint64_t bytes_sent_{};
    timer idle_check_;
    timer hello_check_;
    bool hello_check_scheduled_{};
    stream_listener listener_;
};

} // namespace goldcrestwell

#endif
