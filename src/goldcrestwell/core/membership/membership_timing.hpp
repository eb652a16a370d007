#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_TIMING_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_TIMING_HPP

#include <chrono>
#include <cstddef>

namespace goldcrestwell {

/** @brief Intervals and time-outs of the membership module; `docs/membership.md` gives the reasons. */
struct membership_timing {
    /** @brief One member is probed in each interval. */
    std::chrono::milliseconds probe_interval{1000};
    /** @brief Wait for a direct ack before other nodes are asked to probe. */
    std::chrono::milliseconds ack_timeout{400};
    /** @brief Suspicion time-out is this times ln(n + 1). */
    std::chrono::milliseconds suspicion_unit{1500};
    /** @brief Shortest time between two rounds of urgent pushes. */
    std::chrono::milliseconds push_gap{50};
    /** @brief Time between two rounds that push the same urgent fact. */
    std::chrono::milliseconds push_interval{250};
    /** @brief Time between two anti-entropy exchanges while nothing differs. */
    std::chrono::milliseconds sync_interval{10'000};
    /** @brief Time between two anti-entropy exchanges while this node catches up. */
    std::chrono::milliseconds catch_up_interval{500};
    /** @brief First retry of a join; doubles up to `join_backoff_limit`. */
    std::chrono::milliseconds join_backoff{1000};
    std::chrono::milliseconds join_backoff_limit{30'000};
    /** @brief Seeds contacted at the same time while no member is known. */
    std::size_t join_fan_out{1};
    /** @brief New seeds that are no members contacted at once in each of the first rounds; 0 for none. */
    std::size_t join_sweep{0};
    /** @brief Time between two rounds of pings to members believed dead or to seeds that are not members. */
    std::chrono::milliseconds reconnect_interval{30'000};
    /** @brief How late its own timer may be before a node takes itself to have been paused. */
    std::chrono::milliseconds pause_threshold{1000};
    /** @brief Time for which dead and left records are kept. */
    std::chrono::milliseconds tombstone_time{600'000};
    /** @brief Longest time for which the suspects of an unreachable region are not declared dead. */
    std::chrono::milliseconds cut_hold{3'600'000};
};

} // namespace goldcrestwell

#endif
