#include "goldcrestwell/core/call/run_throttle.hpp"

#include <algorithm>

namespace goldcrestwell {

void run_throttle::adjust(row_state& state, const steady_time now) const {
    if (now < state.until) {
        return;
    }
    const auto known = state.calls >= options_.least_calls;
    const auto part = known ? static_cast<double>(state.refused) / state.calls : 0.0;
    if (part > options_.tolerated) {
        // Not below the part that was served: the others are refused by the called service itself.
        state.admitted *= std::max(options_.decrease, 1.0 - part);
        state.admitted = std::max(state.admitted, options_.least);
    } else {
        const auto step = state.refused == 0 ? options_.recovery : options_.increase;
        state.admitted = std::min(state.admitted + step, 1.0);
    }
    state.calls = 0;
    state.refused = 0;
    state.until = now + options_.interval;
}

void run_throttle::on_call(const row_key& row, const bool refused, const steady_time now) {
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
    if (state.admitted >= 1.0) {
        return true;
    }
    state.credit += state.admitted;
    if (state.credit < 1.0) {
        return false;
    }
    state.credit -= 1.0;
    return true;
}

} // namespace goldcrestwell
