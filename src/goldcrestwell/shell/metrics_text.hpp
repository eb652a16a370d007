#ifndef GOLDCRESTWELL_SHELL_METRICS_TEXT_HPP
#define GOLDCRESTWELL_SHELL_METRICS_TEXT_HPP

#include "goldcrestwell/core/common/fwd.hpp"
#include "goldcrestwell/core/node/fwd.hpp"
#include "goldcrestwell/shell/process_usage.hpp"

#include <string>

namespace goldcrestwell {

/**
 * @brief Returns the metrics of a node in the Prometheus text format.
 * @param memory Budget of the buffers, or null if there is none.
 */
[[nodiscard]] std::string metrics_text(const node& core, const process_usage& usage, const memory_budget* memory);

} // namespace goldcrestwell

#endif
