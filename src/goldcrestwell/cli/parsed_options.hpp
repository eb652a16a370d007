#ifndef GOLDCRESTWELL_CLI_PARSED_OPTIONS_HPP
#define GOLDCRESTWELL_CLI_PARSED_OPTIONS_HPP

#include "goldcrestwell/cli/exit_code.hpp"

#include <cxxopts.hpp>

#include <optional>
#include <span>

namespace goldcrestwell {

/** @brief Options of a subcommand, or the exit code if there is nothing more to do. */
struct parsed_options {
    std::optional<cxxopts::ParseResult> values;
    exit_code ended{exit_code::success};
};

/**
 * @brief Parses the arguments of a subcommand; prints the help or the mistake.
 * @param options Options of the subcommand; `--help` is added.
 * @param arguments The subcommand's name and what follows it.
 */
[[nodiscard]] parsed_options parse_options(cxxopts::Options& options, std::span<char*> arguments);

} // namespace goldcrestwell

#endif
