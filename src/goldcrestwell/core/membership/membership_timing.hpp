#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_TIMING_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_MEMBERSHIP_TIMING_HPP

#include <chrono>
#include <cstddef>

namespace goldcrestwell {

/** @brief Intervals and time-outs of `membership`; `docs/membership.md` gives the reasons. */
struct membership_timing {
    /** @brief Interval between probes. */
    std::chrono::milliseconds probe_interval{1000};
    /** @brief Time to wait for a direct ack before indirect probes are requested. */
    std::chrono::milliseconds ack_timeout{400};
    /** @brief Factor of the suspicion time-out, which is this value times ln(n + 1) for n nodes. */
    std::chrono::milliseconds suspicion_unit{1500};
    /** @brief Minimum time between two rounds of pushes. */
    std::chrono::milliseconds min_push_interval{50};
    /** @brief Interval between rounds of pushes while updates are waiting. */
    std::chrono::milliseconds push_interval{250};
    /** @brief Interval between anti-entropy exchanges while the tables agree. */
    std::chrono::milliseconds sync_interval{10'000};
    /** @brief Interval between anti-entropy exchanges while this node catches up. */
    std::chrono::milliseconds catch_up_interval{500};
    /** @brief Delay before the first retry of a join; doubles up to the maximum. */
    std::chrono::milliseconds join_backoff{1000};
    std::chrono::milliseconds max_join_backoff{30'000};
    /** @brief Number of nodes contacted in each round of join pings. */
    std::size_t join_fan_out{1};
    /** @brief Number of nodes contacted in each of the first rounds with new seeds; 0 disables these rounds. */
    std::size_t new_seed_fan_out{0};
    /** @brief Interval between rounds of pings to members recorded as dead and to seeds that are not members. */
    std::chrono::milliseconds reconnect_interval{30'000};
    /** @brief Lateness of this node's own timers above which it assumes that it was paused. */
    std::chrono::milliseconds pause_threshold{1000};
    /** @brief Retention of `dead` and `left` records. */
    std::chrono::milliseconds tombstone_retention{600'000};
    /** @brief Maximum time for which suspects of an unreachable region are not declared dead. */
    std::chrono::milliseconds max_partition_hold{3'600'000};
};

} // namespace goldcrestwell

#endif
