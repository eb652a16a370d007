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
    /** @brief Time over which calls are counted before the admitted part changes. */
    std::chrono::milliseconds interval{400};
    /** @brief Calls without which an interval says nothing. */
    std::uint32_t min_calls{4};
    /** @brief Refused part of the calls above which fewer runs are admitted. */
    double max_refused_ratio{0.08};
    /** @brief Factor of the admitted part after an interval with too many refused calls, at most. */
    double min_decrease_factor{0.8};
    /** @brief Added to the admitted part after an interval with few refused calls. */
    double increase_step{0.04};
    /** @brief Added after an interval without any, so that all runs start again soon after a recovery. */
    double recovery_step{0.1};
    /** @brief Least admitted part, so that recovery of the called service is noticed. */
    double min_admitted_ratio{0.1};
};

/**
 * @brief Admits as many runs of a row as can have their own calls served.
 *
 * While the service that a row calls is overloaded, a run whose call is refused has wasted its time and its other
 * calls. Refusing the run before it starts leaves the room to runs that succeed.
 */
class run_throttle {
public:
    explicit run_throttle(run_throttle_options options = {}) : options_{options} {}

    /** @brief A call made by a run of the row has ended. */
    void on_nested_call(const row_key& row, bool refused, steady_time now);
    /** @return True if one more run of the row may start. */
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
