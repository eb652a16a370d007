#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_COUNTERS_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_COUNTERS_HPP

#include "goldcrestwell/core/common/enum_counters.hpp"
#include "goldcrestwell/core/membership/control_priority.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Counters of a `membership` object. */
struct membership_counters {
    /** @brief Number of direct probes sent. */
    std::uint64_t probes{};
    /** @brief Number of indirect probes requested from other nodes. */
    std::uint64_t indirect_probes{};
    /** @brief Number of probes that ended without an ack. */
    std::uint64_t failed_probes{};
    /** @brief Number of members that this node marked as suspect. */
    std::uint64_t suspicions{};
    /** @brief Number of times this node raised its incarnation to refute a record about itself. */
    std::uint64_t refutations{};
    /** @brief Number of members that this node declared dead after the suspicion time-out. */
    std::uint64_t deaths{};
    /** @brief Number of times a region was marked unreachable. */
    std::uint64_t partitions{};
    /** @brief Number of pauses of this node, for example by SIGSTOP, detected by a late timer. */
    std::uint64_t pauses{};
    /** @brief Number of datagrams dropped because their sender has restarted since. */
    std::uint64_t stale_datagrams{};
    /** @brief Number of join pings to seeds and to members recorded as dead. */
    std::uint64_t join_pings{};
    /** @brief Number of anti-entropy exchanges started. */
    std::uint64_t syncs{};
    /** @brief Number of records of other nodes received in datagrams. */
    std::uint64_t gossip_records{};
    /** @brief Number of `gossip_records` that did not change the table. */
    std::uint64_t gossip_repeats{};
    /** @brief Number of records of other nodes received in anti-entropy exchanges. */
    std::uint64_t sync_records{};
    /** @brief Number of `sync_records` that did not change the table. */
    std::uint64_t sync_repeats{};
    /** @brief Number of datagrams sent. */
    std::uint64_t datagrams{};
    /** @brief Bytes of piggybacked updates in the datagrams sent. */
    std::uint64_t update_bytes{};
    /** @brief Bytes sent, by priority. */
    enum_counters<control_priority, control_priority_count> bytes;
    /** @brief Number of messages not sent because the byte budget was exhausted, by priority. */
    enum_counters<control_priority, control_priority_count> withheld;
};

} // namespace goldcrestwell

#endif
