#ifndef GOLDCRESTWELL_SHELL_METRICS_TEXT_HPP
#define GOLDCRESTWELL_SHELL_METRICS_TEXT_HPP

#include "goldcrestwell/core/node/fwd.hpp"
#include "goldcrestwell/shell/process_usage.hpp"

#include <string>

namespace goldcrestwell {

/** @brief Returns the metrics of a node in the Prometheus text format. */
[[nodiscard]] std::string metrics_text(const node& core, const process_usage& usage);

} // namespace goldcrestwell

#endif
