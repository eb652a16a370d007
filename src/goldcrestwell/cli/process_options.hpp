#ifndef GOLDCRESTWELL_CLI_PROCESS_OPTIONS_HPP
#define GOLDCRESTWELL_CLI_PROCESS_OPTIONS_HPP

#include "goldcrestwell/codec/node_settings.hpp"
#include "goldcrestwell/codec/sidecar_settings.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/shell/node_process.hpp"

#include <cstdint>

namespace goldcrestwell {

/**
 * @brief Converts settings to the options of the daemon.
 * @param started Start time of the process, used as the start incarnation of the node.
 * @param seed Seed of the node's random decisions.
 */
[[nodiscard]] node_process_options to_process_options(const node_settings& settings, wall_time started,
                                                      std::uint64_t seed);

/** @brief Converts the settings of a sidecar to the options of the daemon; `sidecar` adds those of the platform. */
[[nodiscard]] node_process_options to_process_options(const sidecar_settings& settings, wall_time started,
                                                      std::uint64_t seed);

/** @brief Limits the memory and the connections of the daemon to the resources of its host. */
void apply_limits(const resource_settings& limits, node_process_options& options);

} // namespace goldcrestwell

#endif
