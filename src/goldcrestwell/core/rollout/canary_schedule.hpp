#ifndef GOLDCRESTWELL_CORE_ROLLOUT_CANARY_SCHEDULE_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_CANARY_SCHEDULE_HPP

#include "goldcrestwell/core/common/share.hpp"

#include <chrono>
#include <cstddef>

namespace goldcrestwell {

/** @brief Settings of a `canary_schedule`. */
struct canary_schedule_options {
    /** @brief Time for which one group of upstreams takes the calls of the canary. */
    std::chrono::milliseconds group_duration{1'500};
    /** @brief Share of all calls that the canary gets, averaged over a group. */
    share mean_share{70'000};
    /** @brief Smallest share in a burst; a burst then lasts half of the group duration. */
    share min_burst_share{140'000};
    /** @brief Largest share in a burst. */
    share max_burst_share{400'000};
    /** @brief Load of an upstream in a burst relative to its load after the rollout. */
    double final_load_ratio{1.25};
    /** @brief Largest load of an upstream in a burst relative to an upstream of the current version. */
    double max_current_load_ratio{2.0};
};

/** @brief Numbers of live upstreams of both versions of a service. */
struct upstream_counts {
    std::size_t candidates{};
    /** @brief Upstreams of the current version; zero if that version is unknown. */
    std::size_t current{};
};

/** @brief Upstreams that take the calls of the canary, as indices into the upstreams ordered by node. */
struct canary_group {
    std::size_t first{};
    std::size_t count{};
};

/**
 * @brief Schedules bursts that put the load of the complete rollout on a few upstreams of the canary at a time.
 *
 * A fault that appears only under load stays hidden if a small share of the calls is spread over time and upstreams.
 */
class canary_schedule {
public:
    using size_type = std::size_t;

    explicit canary_schedule(canary_schedule_options options = {}) noexcept : options_{options} {}

    /** @return Share of the canary at a time since its request; zero between two bursts. */
    [[nodiscard]] share share_at(std::chrono::microseconds since_request, upstream_counts upstreams) const noexcept;
    /** @return Current group of upstreams; the same on all nodes that received the request at the same time. */
    [[nodiscard]] canary_group group_at(std::chrono::microseconds since_request,
                                        upstream_counts upstreams) const noexcept;

private:
    [[nodiscard]] double burst_share(upstream_counts upstreams) const noexcept;

    canary_schedule_options options_;
};

} // namespace goldcrestwell

#endif
