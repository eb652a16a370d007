#ifndef GOLDCRESTWELL_CORE_NODE_ROLLOUT_PLANS_HPP
#define GOLDCRESTWELL_CORE_NODE_ROLLOUT_PLANS_HPP

#include "goldcrestwell/core/config/table_snapshot.hpp"
#include "goldcrestwell/core/rollout/rollout_changes.hpp"
#include "goldcrestwell/core/routing/route_table.hpp"

namespace goldcrestwell {

/**
 * @brief Computes the changes between two snapshots for the rollout engine.
 * @param before Previous snapshot; null if there is none.
 */
[[nodiscard]] rollout_changes to_rollout_changes(const table_snapshot* before, const table_snapshot& after,
                                                 log_offset position);

/** @return Route table with the routes of a snapshot. */
[[nodiscard]] route_table to_route_table(const table_snapshot& snapshot);

} // namespace goldcrestwell

#endif
