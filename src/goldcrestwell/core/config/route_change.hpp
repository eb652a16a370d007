#ifndef GOLDCRESTWELL_CORE_CONFIG_ROUTE_CHANGE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_ROUTE_CHANGE_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/config/route_state.hpp"
#include "goldcrestwell/core/message/row_change.hpp"

#include <span>

namespace goldcrestwell::internal {

/** @brief Where and when an edit stands in the log. */
struct edit_place {
    log_offset at;
    wall_time created_at{};
};

/**
 * @brief State of a route after the changes of one edit; without rows if the edit removes the route.
 * @param before State before the edit, or null for a new route.
 * @param changes The edit's changes of this route, at least one.
 */
[[nodiscard]] route_state changed_route(const route_state* before, std::span<const row_change* const> changes,
                                        const edit_place& place);

/** @return True if every version whose target is above its base is recorded as done and was not taken back. */
[[nodiscard]] bool move_finished(const route_state& state);

} // namespace goldcrestwell::internal

#endif
