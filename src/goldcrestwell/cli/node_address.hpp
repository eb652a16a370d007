#ifndef GOLDCRESTWELL_CLI_NODE_ADDRESS_HPP
#define GOLDCRESTWELL_CLI_NODE_ADDRESS_HPP

#include "goldcrestwell/shell/endpoint.hpp"

#include <cxxopts.hpp>

#include <optional>

namespace goldcrestwell {

/** @brief Adds the option `--node` for the admin listener of a node. */
void add_node_option(cxxopts::Options& options);

/** @return Address given by `--node`, or nothing after an error message if it is not a valid endpoint. */
[[nodiscard]] std::optional<endpoint> node_address(const cxxopts::ParseResult& values);

} // namespace goldcrestwell

#endif
