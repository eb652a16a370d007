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

/** @brief Counts the outcomes since the last report and the consecutive failures of calls to the local upstream. */
class evidence_collector {
public:
    /** @param failure_limit Consecutive failures after which calls are refused. */
    evidence_collector(std::uint32_t failure_limit, std::chrono::milliseconds refusal_interval) noexcept
        : failure_limit_{failure_limit}, refusal_interval_{refusal_interval} {}

    /** @brief Counts a call. @param counted False to track consecutive failures only, without evidence. */
    void record(const call_observation& observation, bool counted, time_sample now);

    /** @return True if a call must be refused; one call per refusal interval is let through. */
    [[nodiscard]] bool must_refuse_call(const row_key& row, time_sample now);

    /** @brief Returns the windows since the last report and starts new ones. */
    [[nodiscard]] std::vector<evidence_window> take_windows();

    /** @brief Drops the windows and consecutive failures of all rows for which `is_needed` returns false. */
    void retain(const std::function<bool(const row_key&)>& is_needed);

    [[nodiscard]] bool empty() const noexcept { return windows_.empty(); }

private:
    struct failure_run {
        std::uint32_t length{};
        steady_time next_attempt_at{};
    };

    std::uint32_t failure_limit_;
    std::chrono::milliseconds refusal_interval_;
    std::map<row_key, evidence_window> windows_;
    std::map<row_key, failure_run> failure_runs_;
};

} // namespace goldcrestwell

#endif
