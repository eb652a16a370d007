#ifndef GOLDCRESTWELL_CORE_NODE_NODE_HOOKS_HPP
#define GOLDCRESTWELL_CORE_NODE_NODE_HOOKS_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/common/invariant_id.hpp"
#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/call_request.hpp"
#include "goldcrestwell/core/message/datagram.hpp"
#include "goldcrestwell/core/message/log_record.hpp"
#include "goldcrestwell/core/message/peer_message.hpp"
#include "goldcrestwell/core/message/routing_config.hpp"
#include "goldcrestwell/core/node/node_event.hpp"

#include <chrono>
#include <cstddef>
#include <functional>

namespace goldcrestwell {

/** @brief Side effects of a node; every hook must be set and must not call back into the node. */
struct node_hooks {
    /** @brief Sends a frame to a peer, opening a connection if there is none. */
    std::function<void(node_id to, const peer_message& message)> send_frame;
    /** @brief Sends a datagram to a peer. */
    std::function<void(node_id to, const datagram& message)> send_datagram;
    /** @brief Returns the encoded size of a datagram in bytes. */
    std::function<std::size_t(const datagram& message)> datagram_size;
    /** @brief Returns the encoded size of a frame in bytes. */
    std::function<std::size_t(const peer_message& message)> frame_size;
    /** @brief Closes every connection with a peer and opens a new one. */
    std::function<void(node_id peer)> replace_connection;
    /** @brief Sends a request to the local upstream. */
    std::function<void(const attempt_id& id, const call_request& call, std::chrono::milliseconds timeout)>
        start_upstream;
    /** @brief Aborts a request to the upstream; its result is still passed to `node::on_upstream_result`. */
    std::function<void(const attempt_id& id)> abort_upstream;
    /** @brief Reads the records after an offset and waits up to the given time for new ones. */
    std::function<void(log_offset after, std::chrono::milliseconds wait)> read_log;
    /** @brief Appends a record; no result is reported because the response may be lost. */
    std::function<void(const log_record& record)> append_record;
    /** @brief Schedules a call of `node::on_timer`; replaces an earlier schedule. */
    std::function<void(steady_time when)> schedule_wake_up;
    /** @brief Called with a new configuration, whose limits the listeners apply; only with `operators` set. */
    std::function<void(const routing_config& config)> config_changed;
    /** @brief Reports an event for the log. */
    std::function<void(const node_event& event)> event;
    /** @brief Reports a violated invariant. */
    std::function<void(invariant_id id)> invariant_violated;
};

} // namespace goldcrestwell

#endif
