#ifndef GOLDCRESTWELL_CLI_LIMIT_OVERRIDES_HPP
#define GOLDCRESTWELL_CLI_LIMIT_OVERRIDES_HPP

#include "goldcrestwell/codec/node_settings.hpp"

#include <functional>
#include <optional>
#include <string>

namespace goldcrestwell {

/** @brief Values given to a process besides its settings file; each hook returns nothing for a value that is not set.
 */
struct limit_sources {
    /** @brief Returns an option of the command, by its name without dashes. */
    std::function<std::optional<std::string>(const std::string& name)> option;
    /** @brief Returns an environment variable. */
    std::function<std::optional<std::string>(const std::string& name)> variable;
};

/**
 * @brief Replaces limits of the settings by options of the command, or else by environment variables.
 *
 * An empty environment variable counts as not set. A value may have a fraction, which is dropped.
 *
 * @return Message that names the first invalid value, or nothing if all are valid.
 */
[[nodiscard]] std::optional<std::string> override_limits(const limit_sources& sources, resource_settings& limits);

} // namespace goldcrestwell

#endif
