// Estimates of service times and of the waiting time of new attempts.

#include "goldcrestwell/core/call/attempt_ledger.hpp"

#include <algorithm>
#include <limits>

namespace goldcrestwell {

namespace {

// Each sample has a weight of one eighth, so the average follows a change within about ten calls and no single call
// shifts it much.
constexpr int service_time_smoothing = 8;
// The mean alone is not enough: at a load of twice the capacity, a tenth of the responses missed a deadline of five
// service times.
constexpr int deviation_factor = 2;

} // namespace

void attempt_ledger::update_service_time(const entry& item, const upstream_result& result, const steady_time now) {
    if (result.outcome == upstream_outcome::not_sent || item.aborted) {
        return;
    }
    const auto sample = now - item.started;
    overall_.add(sample);
    estimates_[row_key{.route = item.request.route, .version = item.request.version}].add(sample);
}

void attempt_ledger::service_estimate::add(const std::chrono::microseconds sample) {
    if (mean == std::chrono::microseconds{}) {
        mean = sample;
        return;
    }
    deviation += (std::chrono::abs(sample - mean) - deviation) / service_time_smoothing;
    mean += (sample - mean) / service_time_smoothing;
}

// Uses the smaller of both estimates: short calls need less time than the average over all rows, and a row whose own
// estimate has become too large runs again as soon as the other rows are faster.
std::chrono::microseconds attempt_ledger::service_time_upper_bound(const row_key& row) const {
    const auto upper_bound = [](const service_estimate& estimate) {
        return estimate.mean + deviation_factor * estimate.deviation;
    };
    const auto found = estimates_.find(row);
    return found == estimates_.end() ? upper_bound(overall_)
                                     : std::min(upper_bound(overall_), upper_bound(found->second));
}

std::chrono::microseconds attempt_ledger::service_time(const row_key& row) const {
    const auto found = estimates_.find(row);
    return found == estimates_.end() ? overall_.mean : found->second.mean;
}

queue_key attempt_ledger::queue_key_of(const attempt_request& request, const steady_time now) {
    const auto has_objective = request.objective > std::chrono::milliseconds{};
    return {.depth = request.call.hops,
            .priority = request.priority,
            .due = has_objective ? now + request.objective : steady_time::max()};
}

std::chrono::microseconds attempt_ledger::expected_wait(const queue_key& key, const steady_time now) const {
    const auto slots = capacity();
    if (slots == 0 || busy_slots_ < slots) {
        return {};
    }
    const auto queued_work = queue_.work_before(
        key, [this](const row_key& row) { return service_time(row); }, now);
    // The next slot becomes free after about one service time divided by the number of slots.
    return (queued_work + overall_.mean) / slots;
}

std::chrono::milliseconds attempt_ledger::retry_after(const attempt_id& id, const steady_time now) const {
    constexpr std::uint64_t spread_steps = 8;
    if (options_.min_retry_after == std::chrono::milliseconds{}) {
        return {};
    }
    const auto wait = expected_wait({.priority = std::numeric_limits<std::uint32_t>::max()}, now);
    const auto base = std::max(std::chrono::ceil<std::chrono::milliseconds>(wait), options_.min_retry_after);
    return base +
           base * static_cast<std::int64_t>(id.sequence % spread_steps) / static_cast<std::int64_t>(spread_steps);
}

} // namespace goldcrestwell
