#ifndef GOLDCRESTWELL_CORE_ROLLOUT_EVIDENCE_COLLECTOR_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_EVIDENCE_COLLECTOR_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/call_observation.hpp"
#include "goldcrestwell/core/message/evidence_window.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace goldcrestwell {

/** @brief Outcomes seen by the node beside an upstream since its last report, and its runs of failures. */
class evidence_collector {
public:
    /** @param run_limit Failures in a row that count as a failing upstream. */
    evidence_collector(std::uint32_t run_limit, std::chrono::milliseconds refuse_for) noexcept
        : run_limit_{run_limit}, refuse_for_{refuse_for} {}

    /** @brief Counts a call. @param judged False if no move needs the outcome. */
    void record(const call_observation& observation, bool judged, time_sample now);

    /** @return True if calls must be refused; lets one call through after each `refuse_for`. */
    [[nodiscard]] bool refuses(const row_key& row, time_sample now);

    /** @return The windows since the last call of this function. */
    [[nodiscard]] std::vector<evidence_window> take();

    /** @brief Drops the runs of rows that are no longer of interest. */
    void retain(const std::function<bool(const row_key&)>& wanted);

    [[nodiscard]] bool empty() const noexcept { return windows_.empty(); }

private:
    struct failure_run {
        std::uint32_t length{};
        steady_time next_try{};
    };

    std::uint32_t run_limit_;
    std::chrono::milliseconds refuse_for_;
    std::map<row_key, evidence_window> windows_;
    std::map<row_key, failure_run> runs_;
};

} // namespace goldcrestwell

#endif
