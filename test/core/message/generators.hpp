#ifndef GOLDCRESTWELL_TEST_CORE_MESSAGE_GENERATORS_HPP
#define GOLDCRESTWELL_TEST_CORE_MESSAGE_GENERATORS_HPP

#include "goldcrestwell/core/message/move_state.hpp"

#include <rapidcheck.h>

namespace rc {

template <>
struct Arbitrary<goldcrestwell::move_state> {
    static Gen<goldcrestwell::move_state> arbitrary() {
        using goldcrestwell::move_state;
        using goldcrestwell::take_back_reason;
        return gen::build<move_state>(
            gen::set(&move_state::stage, gen::inRange<std::uint8_t>(0, 6)), gen::set(&move_state::done),
            gen::set(&move_state::taken_back),
            gen::set(
                &move_state::reason,
                gen::map(gen::inRange(0, 5), [](const int value) { return static_cast<take_back_reason>(value); })),
            gen::set(&move_state::rechecks));
    }
};

} // namespace rc

#endif
