#ifndef GOLDCRESTWELL_CORE_CALL_RUN_THROTTLE_HPP
#define GOLDCRESTWELL_CORE_CALL_RUN_THROTTLE_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/row_key.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace goldcrestwell {

/** @brief Settings of a `run_throttle`. */
struct run_throttle_options {
    /** @brief Time over which nested calls are counted before the admitted ratio changes. */
    std::chrono::milliseconds interval{400};
    /** @brief Minimum number of calls in an interval; with fewer, no refusals are assumed. */
    std::uint32_t min_calls{4};
    /** @brief Ratio of refused calls above which fewer runs are admitted. */
    double max_refused_ratio{0.08};
    /** @brief Smallest factor by which the admitted ratio decreases after an interval with too many refused calls. */
    double min_decrease_factor{0.8};
    /** @brief Increase of the admitted ratio after an interval with few refused calls. */
    double increase_step{0.04};
    /** @brief Increase after an interval without refused calls, so that all runs start again soon after a recovery. */
    double recovery_step{0.1};
    /** @brief Minimum admitted ratio, so that the recovery of the called service is detected. */
    double min_admitted_ratio{0.1};
};

/**
 * @brief Limits the runs of a row to those whose nested calls can succeed.
 *
 * While a service that a row calls is overloaded, a run whose nested call is refused has wasted its slot and its other
 * calls. Refusing such runs before they start leaves the capacity to runs that succeed.
 */
class run_throttle {
public:
    explicit run_throttle(run_throttle_options options = {}) : options_{options} {}

    /** @brief Records the end of a call that a run of the row made. */
    void on_nested_call(const row_key& row, bool refused, steady_time now);
    /** @brief Checks whether one more run of the row may start. */
    [[nodiscard]] bool admit(const row_key& row, steady_time now);
    [[nodiscard]] std::chrono::milliseconds interval() const noexcept { return options_.interval; }

private:
    struct row_state {
        std::uint32_t calls{};
        std::uint32_t refused{};
        double admitted_ratio{1.0};
        double credit{};
        steady_time interval_end{};
    };

    void adjust(row_state& state, steady_time now) const;

    run_throttle_options options_;
    std::map<row_key, row_state> rows_;
};

} // namespace goldcrestwell

#endif
