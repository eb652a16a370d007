#ifndef GOLDCRESTWELL_CORE_CONFIG_ROUTE_CHANGE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_ROUTE_CHANGE_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/config/route_state.hpp"
#include "goldcrestwell/core/message/row_change.hpp"

#include <span>

namespace goldcrestwell::internal {

/** @brief Offset and creation time of an edit. */
struct edit_origin {
    log_offset offset;
    wall_time created_at{};
};

/**
 * @brief Applies the changes of one edit to a route.
 * @param before State before the edit, or null for a new route.
 * @param changes Changes of the edit that concern this route; at least one.
 * @param origin Offset and creation time of the edit.
 * @return State after the edit; without rows if the edit removes the route.
 */
[[nodiscard]] route_state apply_changes(const route_state* before, std::span<const row_change* const> changes,
                                        const edit_origin& origin);

/** @return True if every version whose target is above its base is recorded as done and not as rolled back. */
[[nodiscard]] bool is_rollout_finished(const route_state& state);

} // namespace goldcrestwell::internal

#endif
