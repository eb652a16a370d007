#include "goldcrestwell/cli/node_address.hpp"

#include "goldcrestwell/core/common/node_id.hpp"

#include <iostream>
#include <string>

namespace goldcrestwell {

void add_node_option(cxxopts::Options& options) {
    options.add_options()("node", "Admin listener of any node",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:9001"), "ADDRESS:PORT");
}

std::optional<endpoint> node_address(const cxxopts::ParseResult& values) {
    const auto text = values["node"].as<std::string>();
    const auto parsed = parse_node_id(text);
    if (!parsed) {
        std::cerr << "--node: '" << text << "' is not an IPv4 address and port\n";
        return std::nullopt;
    }
    return to_endpoint(*parsed);
}

} // namespace goldcrestwell
