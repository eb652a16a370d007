#include "goldcrestwell/core/call/run_throttle.hpp"

#include <algorithm>

namespace goldcrestwell {

void run_throttle::adjust(row_state& state, const steady_time now) const {
    if (now < state.interval_end) {
        return;
    }
    const auto has_enough_calls = state.calls >= options_.min_calls;
    const auto refused_ratio = has_enough_calls ? static_cast<double>(state.refused) / state.calls : 0.0;
    if (refused_ratio > options_.max_refused_ratio) {
        // Never decreases by more than the refused ratio, because the called service accepted the rest.
        state.admitted_ratio *= std::max(options_.min_decrease_factor, 1.0 - refused_ratio);
        state.admitted_ratio = std::max(state.admitted_ratio, options_.min_admitted_ratio);
    } else {
        const auto step = state.refused == 0 ? options_.recovery_step : options_.increase_step;
        state.admitted_ratio = std::min(state.admitted_ratio + step, 1.0);
    }
    state.calls = 0;
    state.refused = 0;
    state.interval_end = now + options_.interval;
}

void run_throttle::on_nested_call(const row_key& row, const bool refused, const steady_time now) {
    auto& state = rows_[row];
    adjust(state, now);
    ++state.calls;
    state.refused += refused ? 1U : 0U;
}

bool run_throttle::admit(const row_key& row, const steady_time now) {
    const auto found = rows_.find(row);
    if (found == rows_.end()) {
        return true;
    }
    auto& state = found->second;
    adjust(state, now);
    if (state.admitted_ratio >= 1.0) {
        return true;
    }
    state.credit += state.admitted_ratio;
    if (state.credit < 1.0) {
        return false;
    }
    state.credit -= 1.0;
    return true;
}

} // namespace goldcrestwell
