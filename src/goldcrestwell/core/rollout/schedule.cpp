#include "goldcrestwell/core/rollout/schedule.hpp"

#include "goldcrestwell/core/rollout/stage.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

using std::chrono::milliseconds;

// The rest of a move is cut into equal units: one for each stage below the last, two for the bake time, and two of
// slack, enough to repeat one stage and to gather samples a second time.
constexpr int bake_units = 2;
constexpr int slack_units = 2;

int stages_left(const std::uint8_t stage) noexcept {
    return last_stage - std::min(stage, last_stage);
}

} // namespace

wall_time move_deadline(const table_row& row, const schedule_limits& limits) noexcept {
    return row.values.deadline.value_or(row.changed_at + limits.default_move_duration);
}

milliseconds dwell_time(const std::uint8_t stage, const wall_time entered, const wall_time deadline,
                        const schedule_limits& limits) noexcept {
    const auto unit = (deadline - entered) / (stages_left(stage) + bake_units + slack_units);
    return std::clamp<milliseconds>(unit, limits.minimum_dwell, limits.maximum_dwell);
}

milliseconds thin_evidence_time(const std::uint8_t stage, const wall_time entered, const wall_time deadline,
                                const schedule_limits& limits) noexcept {
    const auto unit = (deadline - entered) / (stages_left(stage) + bake_units);
    return std::max<milliseconds>(unit, limits.minimum_dwell);
}

milliseconds bake_time(const wall_time entered, const wall_time deadline, const schedule_limits& limits) noexcept {
    const auto time = (deadline - entered) * bake_units / (bake_units + slack_units);
    return std::clamp<milliseconds>(time, limits.minimum_bake, limits.maximum_bake);
}

} // namespace goldcrestwell
