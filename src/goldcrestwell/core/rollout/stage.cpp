#include "goldcrestwell/core/rollout/stage.hpp"

#include <algorithm>
#include <array>

namespace goldcrestwell {

namespace {

constexpr std::array<share, last_stage + 1> progress{
    share{0}, share{10'000}, share{50'000}, share{250'000}, share{500'000}, full_share,
};

} // namespace

share stage_progress(const std::uint8_t stage) noexcept {
    return progress[std::min(stage, last_stage)];
}

share permitted_progress(const rollout_state& state) noexcept {
    return state.rolled_back ? share{} : stage_progress(state.stage);
}

} // namespace goldcrestwell
