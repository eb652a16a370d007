#ifndef GOLDCRESTWELL_SHELL_STATUS_JSON_HPP
#define GOLDCRESTWELL_SHELL_STATUS_JSON_HPP

#include "goldcrestwell/core/message/edit_verdict.hpp"
#include "goldcrestwell/core/node/fwd.hpp"
#include "goldcrestwell/shell/process_usage.hpp"

#include <optional>
#include <string>

namespace goldcrestwell {

/** @brief Returns the readiness, configuration version, counters and members of a node as JSON. */
[[nodiscard]] std::string status_json(const node& core, const process_usage& usage);

/** @brief Returns the verdict on an edit as JSON; "unknown" if there is none. */
[[nodiscard]] std::string verdict_json(const edit_id& id, const std::optional<edit_verdict>& verdict);

} // namespace goldcrestwell

#endif
