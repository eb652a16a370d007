#ifndef GOLDCRESTWELL_CORE_ROLLOUT_TRIAL_SCHEDULE_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_TRIAL_SCHEDULE_HPP

#include "goldcrestwell/core/common/share.hpp"

#include <chrono>
#include <cstddef>

namespace goldcrestwell {

/** @brief Settings of a `trial_schedule`. */
struct trial_schedule_options {
    /** @brief Time for which a group of upstreams has its turn. */
    std::chrono::milliseconds turn{1'500};
    /** @brief Share of all calls that a version on trial gets, averaged over a turn. */
    share mean{70'000};
    /** @brief Least share during a burst: half of a turn is then a burst. */
    share least_burst{140'000};
    /** @brief Largest share during a burst. */
    share most_burst{400'000};
    /** @brief Load of an upstream in a burst, in parts of its load once the move is complete. */
    double load_factor{1.25};
    /** @brief Load of an upstream in a burst, in parts of that of an upstream of the version in use. */
    double load_limit{2.0};
};

/** @brief Live upstreams of both versions of a service. */
struct trial_population {
    std::size_t candidates{};
    /** @brief Upstreams of the version in use; zero if that version is not known. */
    std::size_t current{};
};

/** @brief Upstreams that take the calls of a version on trial, as places in their order by node. */
struct trial_turn {
    std::size_t first{};
    std::size_t count{};
};

/**
 * @brief Bursts that put the load of the complete move on a few upstreams of a version on trial at a time.
 *
 * A fault that shows under load only does not show while a small share of the calls is spread over time and upstreams.
 */
class trial_schedule {
public:
    using size_type = std::size_t;

    explicit trial_schedule(trial_schedule_options options = {}) noexcept : options_{options} {}

    /** @return Share of the version at a time since its order; zero between two bursts. */
    [[nodiscard]] share share_at(std::chrono::microseconds since_order, trial_population population) const noexcept;
    /** @return The upstreams whose turn it is; the same on all nodes that learned of the order together. */
    [[nodiscard]] trial_turn turn_at(std::chrono::microseconds since_order, trial_population population) const noexcept;

private:
    [[nodiscard]] double burst_share(trial_population population) const noexcept;

    trial_schedule_options options_;
};

} // namespace goldcrestwell

#endif
