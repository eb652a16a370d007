#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_COUNTERS_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_COUNTERS_HPP

#include "goldcrestwell/core/common/enum_counters.hpp"
#include "goldcrestwell/core/membership/control_priority.hpp"

#include <cstdint>

namespace goldcrestwell {

/** @brief Counters of the membership module of one node. */
struct membership_counters {
    /** @brief Direct probes sent. */
    std::uint64_t probes{};
    /** @brief Requests to other nodes to probe on this node's behalf. */
    std::uint64_t indirect_probes{};
    /** @brief Probes that ended without an ack. */
    std::uint64_t failed_probes{};
    /** @brief Suspicions raised by this node. */
    std::uint64_t suspicions{};
    /** @brief Times this node raised its incarnation because of what others said. */
    std::uint64_t refutations{};
    /** @brief Members this node declared dead after the suspicion time-out. */
    std::uint64_t deaths{};
    /** @brief Regions marked unreachable. */
    std::uint64_t cuts{};
    /** @brief Gaps in this node's own timers, for example after SIGSTOP. */
    std::uint64_t pauses{};
    /** @brief Datagrams dropped because they come from an earlier life of their sender. */
    std::uint64_t old_life_datagrams{};
    /** @brief Pings to seeds and to members believed dead. */
    std::uint64_t join_pings{};
    /** @brief Anti-entropy exchanges started. */
    std::uint64_t syncs{};
    /** @brief Records of other nodes received in datagrams. */
    std::uint64_t gossip_records{};
    /** @brief Part of `gossip_records` that told nothing new. */
    std::uint64_t gossip_repeats{};
    /** @brief Records of other nodes received in anti-entropy exchanges. */
    std::uint64_t sync_records{};
    /** @brief Part of `sync_records` that told nothing new. */
    std::uint64_t sync_repeats{};
    /** @brief Datagrams sent. */
    std::uint64_t datagrams{};
    /** @brief Bytes of facts in the datagrams sent. */
    std::uint64_t fact_bytes{};
    /** @brief Bytes sent, by priority. */
    enum_counters<control_priority, control_priority_count> bytes;
    /** @brief Messages withheld because the byte budget was used up, by priority. */
    enum_counters<control_priority, control_priority_count> withheld;
};

} // namespace goldcrestwell

#endif
