#include "goldcrestwell/core/rollout/evidence_collector.hpp"

#include "goldcrestwell/core/message/latency_histogram.hpp"

#include <utility>

namespace goldcrestwell {

void evidence_collector::record(const call_observation& observation, const bool judged, const time_sample now) {
    auto& run = runs_[observation.row];
    run.length = observation.failed ? run.length + 1 : 0;
    run.next_try = now.steady + refuse_for_;
    if (!judged) {
        return;
    }
    auto& window = windows_[observation.row];
    window.row = observation.row;
    ++window.calls;
    // A failed call's latency says nothing about how long the version takes to answer.
    if (observation.failed) {
        ++window.failures;
    } else if (!observation.cold) {
        ++window.latencies[latency_bucket(observation.latency)];
    }
}

bool evidence_collector::refuses(const row_key& row, const time_sample now) {
    const auto found = runs_.find(row);
    if (found == runs_.end() || found->second.length < run_limit_) {
        return false;
    }
    if (now.steady < found->second.next_try) {
        return true;
    }
    found->second.next_try = now.steady + refuse_for_;
    return false;
}

void evidence_collector::retain(const std::function<bool(const row_key&)>& wanted) {
    std::erase_if(runs_, [&wanted](const auto& run) { return !wanted(run.first); });
    std::erase_if(windows_, [&wanted](const auto& window) { return !wanted(window.first); });
}

std::vector<evidence_window> evidence_collector::take() {
    std::vector<evidence_window> windows;
    windows.reserve(windows_.size());
    for (auto& [row, window] : std::exchange(windows_, {})) {
        windows.push_back(std::move(window));
    }
    return windows;
}

} // namespace goldcrestwell
