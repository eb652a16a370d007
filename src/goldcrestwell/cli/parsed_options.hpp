#ifndef GOLDCRESTWELL_CLI_PARSED_OPTIONS_HPP
#define GOLDCRESTWELL_CLI_PARSED_OPTIONS_HPP

#include "goldcrestwell/cli/exit_code.hpp"

#include <cxxopts.hpp>

#include <optional>
#include <span>

namespace goldcrestwell {

/** @brief Parsed options of a subcommand, or the exit code if the program has to end. */
struct parsed_options {
    std::optional<cxxopts::ParseResult> values;
    exit_code exit_status{exit_code::success};
};

/**
 * @brief Parses the arguments of a subcommand; prints the help text or the error, if any.
 * @param options Options of the subcommand; `--help` is added.
 * @param arguments Name of the subcommand, followed by its arguments.
 */
[[nodiscard]] parsed_options parse_options(cxxopts::Options& options, std::span<char*> arguments);

} // namespace goldcrestwell

#endif
