#ifndef GOLDCRESTWELL_CORE_CONFIG_TABLE_REDUCER_OPTIONS_HPP
#define GOLDCRESTWELL_CORE_CONFIG_TABLE_REDUCER_OPTIONS_HPP

#include "goldcrestwell/core/common/invariant_monitor.hpp"

#include <cstddef>

namespace goldcrestwell {

/** @brief Settings of a `table_reducer`; none affects a verdict, because verdicts must be the same on every node. */
struct table_reducer_options {
    /** @brief Maximum estimated size in bytes of a checkpoint part; must be below the record limit of the log. */
    std::size_t max_part_bytes{std::size_t{64} * 1024};
    /** @brief Monitor for violated invariants; may be null in benchmarks. */
    invariant_monitor* invariants{};
};

} // namespace goldcrestwell

#endif
