#ifndef GOLDCRESTWELL_CORE_CALL_ARCHIVED_ATTEMPT_HPP
#define GOLDCRESTWELL_CORE_CALL_ARCHIVED_ATTEMPT_HPP

#include "goldcrestwell/core/common/refusal_reason.hpp"
#include "goldcrestwell/core/common/run_state.hpp"
#include "goldcrestwell/core/message/http_response.hpp"

#include <memory>

namespace goldcrestwell {

/** @brief Outcome of an attempt that has ended. */
struct archived_attempt {
    /** @brief `none` if the upstream answered. */
    refusal_reason reason{};
    run_state state{};
    /** @brief Response of the upstream; null if there was none or it has been evicted. */
    std::shared_ptr<const http_response> response;
};

} // namespace goldcrestwell

#endif
