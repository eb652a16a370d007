#ifndef GOLDCRESTWELL_CORE_NODE_ROLLOUT_PLANS_HPP
#define GOLDCRESTWELL_CORE_NODE_ROLLOUT_PLANS_HPP

#include "goldcrestwell/core/config/table_snapshot.hpp"
#include "goldcrestwell/core/rollout/rollout_changes.hpp"
#include "goldcrestwell/core/routing/route_table.hpp"

namespace goldcrestwell {

/**
 * @return What the rollout engine needs to know of a snapshot that follows another one.
 * @param before The snapshot before, or null if there was none.
 */
[[nodiscard]] rollout_changes to_rollout_changes(const table_snapshot* before, const table_snapshot& after,
                                                 log_offset position);

/** @return The index of a snapshot's routes. */
[[nodiscard]] route_table to_route_table(const table_snapshot& snapshot);

} // namespace goldcrestwell

#endif
