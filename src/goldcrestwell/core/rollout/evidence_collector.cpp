#include "goldcrestwell/core/rollout/evidence_collector.hpp"

#include "goldcrestwell/core/message/latency_histogram.hpp"

#include <utility>

namespace goldcrestwell {

void evidence_collector::record(const call_observation& observation, const bool counted, const time_sample now) {
    auto& run = failure_runs_[observation.row];
    run.length = observation.failed ? run.length + 1 : 0;
    run.next_attempt_at = now.steady + refusal_interval_;
    if (!counted) {
        return;
    }
    auto& window = windows_[observation.row];
    window.row = observation.row;
    ++window.calls;
    // The latency of a failed call is no measure of the response time of the version.
    if (observation.failed) {
        ++window.failures;
    } else if (!observation.cold) {
        ++window.latencies[latency_bucket(observation.latency)];
    }
}

bool evidence_collector::must_refuse_call(const row_key& row, const time_sample now) {
    const auto found = failure_runs_.find(row);
    if (found == failure_runs_.end() || found->second.length < failure_limit_) {
        return false;
    }
    if (now.steady < found->second.next_attempt_at) {
        return true;
    }
    found->second.next_attempt_at = now.steady + refusal_interval_;
    return false;
}

void evidence_collector::retain(const std::function<bool(const row_key&)>& is_needed) {
    std::erase_if(failure_runs_, [&is_needed](const auto& run) { return !is_needed(run.first); });
    std::erase_if(windows_, [&is_needed](const auto& window) { return !is_needed(window.first); });
}

std::vector<evidence_window> evidence_collector::take_windows() {
    std::vector<evidence_window> windows;
    windows.reserve(windows_.size());
    for (auto& [row, window] : std::exchange(windows_, {})) {
        windows.push_back(std::move(window));
    }
    return windows;
}

} // namespace goldcrestwell
