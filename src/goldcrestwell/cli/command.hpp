#ifndef GOLDCRESTWELL_CLI_COMMAND_HPP
#define GOLDCRESTWELL_CLI_COMMAND_HPP

#include "goldcrestwell/cli/exit_code.hpp"

#include <span>

namespace goldcrestwell {

/**
 * @brief Subcommands of the program; each one returns the exit code of the process.
 * @param arguments Name of the subcommand, followed by its arguments.
 */
[[nodiscard]] exit_code run_node(std::span<char*> arguments);
[[nodiscard]] exit_code run_sidecar(std::span<char*> arguments);
[[nodiscard]] exit_code run_table(std::span<char*> arguments);
[[nodiscard]] exit_code run_status(std::span<char*> arguments);
[[nodiscard]] exit_code run_check(std::span<char*> arguments);
[[nodiscard]] exit_code run_load(std::span<char*> arguments);

} // namespace goldcrestwell

#endif
