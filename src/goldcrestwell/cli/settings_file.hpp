#ifndef GOLDCRESTWELL_CLI_SETTINGS_FILE_HPP
#define GOLDCRESTWELL_CLI_SETTINGS_FILE_HPP

#include "goldcrestwell/codec/node_settings.hpp"
#include "goldcrestwell/codec/sidecar_settings.hpp"

#include <optional>
#include <string>

namespace goldcrestwell {

/** @return Settings from a file, or nothing after printing every fault to the standard error stream. */
[[nodiscard]] std::optional<node_settings> load_settings(const std::string& path);

/** @return Like `load_settings`, for the settings of a sidecar. */
[[nodiscard]] std::optional<sidecar_settings> load_sidecar_settings(const std::string& path);

} // namespace goldcrestwell

#endif
