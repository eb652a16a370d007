#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_KEY_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROLLOUT_KEY_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/row_key.hpp"

#include <compare>

namespace goldcrestwell {

/** @brief Identity of a rollout: a row and the edit that last changed it. */
struct rollout_key {
    row_key row;
    log_offset row_version;

    [[nodiscard]] friend auto operator<=>(const rollout_key&, const rollout_key&) = default;
};

} // namespace goldcrestwell

#endif
