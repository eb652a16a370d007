#ifndef GOLDCRESTWELL_SHELL_TABLE_VIEW_HPP
#define GOLDCRESTWELL_SHELL_TABLE_VIEW_HPP

#include "goldcrestwell/codec/table_line.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/node/fwd.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Returns this node's copy of the operators' table, with the rollout status of each row. */
[[nodiscard]] std::vector<table_line> table_lines(const node& core, wall_time now);

} // namespace goldcrestwell

#endif
