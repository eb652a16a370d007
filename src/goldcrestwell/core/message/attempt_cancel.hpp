#ifndef GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_CANCEL_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ATTEMPT_CANCEL_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"

namespace goldcrestwell {

/** @brief Cancels an attempt whose result is no longer needed. */
struct attempt_cancel {
    attempt_id id;

    [[nodiscard]] friend bool operator==(const attempt_cancel&, const attempt_cancel&) = default;
};

} // namespace goldcrestwell

#endif
