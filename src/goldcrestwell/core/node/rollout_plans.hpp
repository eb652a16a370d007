#ifndef GOLDCRESTWELL_CORE_NODE_ROLLOUT_PLANS_HPP
#define GOLDCRESTWELL_CORE_NODE_ROLLOUT_PLANS_HPP

#include "goldcrestwell/core/config/table_snapshot.hpp"
#include "goldcrestwell/core/rollout/rollout_input.hpp"
#include "goldcrestwell/core/routing/route_table.hpp"

namespace goldcrestwell {

/** @return What the rollout engine needs of a snapshot. */
[[nodiscard]] rollout_input to_rollout_input(const table_snapshot& snapshot, log_offset position);

/** @return The index of a snapshot's routes. */
[[nodiscard]] route_table to_route_table(const table_snapshot& snapshot);

} // namespace goldcrestwell

#endif
