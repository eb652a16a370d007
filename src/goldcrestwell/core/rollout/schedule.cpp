#include "goldcrestwell/core/rollout/schedule.hpp"

#include "goldcrestwell/core/rollout/stage.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

using std::chrono::milliseconds;

// The remaining time of a rollout is divided into equal units: one for each stage below the last, two for the bake
// time, and two of slack, which is enough to repeat one stage and to collect its samples a second time.
constexpr int bake_units = 2;
constexpr int slack_units = 2;

int stages_left(const std::uint8_t stage) noexcept {
    return last_stage - std::min(stage, last_stage);
}

} // namespace

wall_time rollout_deadline(const table_row& row, const schedule_limits& limits) noexcept {
    return row.values.deadline.value_or(row.changed_at + limits.default_rollout_duration);
}

milliseconds dwell_time(const std::uint8_t stage, const wall_time entered, const wall_time deadline,
                        const schedule_limits& limits) noexcept {
    const auto unit = (deadline - entered) / (stages_left(stage) + bake_units + slack_units);
    return std::clamp<milliseconds>(unit, limits.min_dwell, limits.max_dwell);
}

milliseconds max_thin_evidence_dwell(const std::uint8_t stage, const wall_time entered, const wall_time deadline,
                                     const schedule_limits& limits) noexcept {
    const auto unit = (deadline - entered) / (stages_left(stage) + bake_units);
    return std::max<milliseconds>(unit, limits.min_dwell);
}

milliseconds bake_time(const wall_time entered, const wall_time deadline, const schedule_limits& limits) noexcept {
    const auto duration = (deadline - entered) * bake_units / (bake_units + slack_units);
    return std::clamp<milliseconds>(duration, limits.min_bake, limits.max_bake);
}

} // namespace goldcrestwell
