#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_OPTIONS_HPP

#include "goldcrestwell/core/common/invariant_monitor.hpp"
#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/membership/membership_timing.hpp"
#include "goldcrestwell/core/message/datagram.hpp"
#include "goldcrestwell/core/message/peer_message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace goldcrestwell {

/** @brief Settings and hooks of `membership`; `send_datagram`, `send_frame` and `wire_size` must be set. */
struct membership_options {
    using size_type = std::size_t;

    /** @brief Initial record of this node; both incarnations are the wall clock at process start. */
    member self;
    /** @brief Nodes to contact for the join. */
    std::vector<node_id> seeds;
    std::uint64_t seed{};
    membership_timing timing;
    /** @brief Rate limit of control traffic, in bytes per second. */
    size_type bytes_per_second{7000};

    std::function<void(node_id to, const datagram&)> send_datagram;
    /** @brief Sends a `sync_digest`, `sync_list`, `sync_request` or `sync_state`. */
    std::function<void(node_id to, const peer_message&)> send_frame;
    /** @brief Returns the encoded size of a datagram in bytes, without IP and UDP headers. */
    std::function<size_type(const datagram&)> wire_size;
    /** @brief Called for each new or changed member record. */
    std::function<void(const member&)> member_changed;
    /** @brief Called for each received rollout state that changes the merged state. */
    std::function<void(const rollout_update&)> rollout_received;
    std::function<void(node_id from, log_offset position)> position_received;
    /** @brief Returns the states of all rollouts, for anti-entropy. */
    std::function<std::vector<rollout_update>()> known_rollouts;
    invariant_monitor* invariants{};
};

} // namespace goldcrestwell

#endif
