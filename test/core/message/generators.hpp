#ifndef GOLDCRESTWELL_TEST_CORE_MESSAGE_GENERATORS_HPP
#define GOLDCRESTWELL_TEST_CORE_MESSAGE_GENERATORS_HPP

#include "goldcrestwell/core/message/rollout_state.hpp"

#include <rapidcheck.h>

namespace rc {

template <>
struct Arbitrary<goldcrestwell::rollout_state> {
    static Gen<goldcrestwell::rollout_state> arbitrary() {
        using goldcrestwell::rollback_reason;
        using goldcrestwell::rollout_state;
        return gen::build<rollout_state>(
            gen::set(&rollout_state::stage, gen::inRange<std::uint8_t>(0, 6)), gen::set(&rollout_state::done),
            gen::set(&rollout_state::rolled_back),
            gen::set(&rollout_state::reason,
                     gen::map(gen::inRange(0, 5), [](const int value) { return static_cast<rollback_reason>(value); })),
            gen::set(&rollout_state::rechecks));
    }
};

} // namespace rc

#endif
