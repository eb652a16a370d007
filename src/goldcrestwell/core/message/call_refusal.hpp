#ifndef GOLDCRESTWELL_CORE_MESSAGE_CALL_REFUSAL_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_CALL_REFUSAL_HPP

#include "goldcrestwell/core/common/refusal_reason.hpp"
#include "goldcrestwell/core/common/run_state.hpp"

#include <chrono>

namespace goldcrestwell {

/** @brief Result of a call that ended without a response. */
struct call_refusal {
    refusal_reason reason{};
    run_state state{run_state::not_run};
    /** @brief Time after which a retry may find capacity; zero if unknown. */
    std::chrono::milliseconds retry_after{};

    [[nodiscard]] friend bool operator==(const call_refusal&, const call_refusal&) = default;
};

} // namespace goldcrestwell

#endif
