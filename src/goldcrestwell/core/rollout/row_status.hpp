#ifndef GOLDCRESTWELL_CORE_ROLLOUT_ROW_STATUS_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_ROW_STATUS_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/share.hpp"
#include "goldcrestwell/core/message/row_key.hpp"
#include "goldcrestwell/core/rollout/row_reason.hpp"
#include "goldcrestwell/core/rollout/row_state.hpp"

namespace goldcrestwell {

/** @brief Read-only columns of a row in the operators' table. */
struct row_status {
    row_key key;
    log_offset row_version;
    row_state state{row_state::pending};
    /** @brief Share in force on the node that returns the status. */
    goldcrestwell::share share;
    row_reason reason{row_reason::none};
    /** @brief Node that advances the row's rollout or rolls it back; none if the row has no rollout. */
    node_id coordinator;

    [[nodiscard]] friend bool operator==(const row_status&, const row_status&) = default;
};

} // namespace goldcrestwell

#endif
