#include "goldcrestwell/cli/admin_client.hpp"
#include "goldcrestwell/cli/command.hpp"
#include "goldcrestwell/cli/node_address.hpp"
#include "goldcrestwell/cli/parsed_options.hpp"

#include <iostream>

namespace goldcrestwell {

exit_code run_status(const std::span<char*> arguments) {
    cxxopts::Options options{"goldcrestwell status", "Shows a node's health, version, members and counters."};
    add_node_option(options);
    const auto parsed = parse_options(options, arguments);
    if (!parsed.values) {
        return parsed.exit_status;
    }
    const auto address = node_address(*parsed.values);
    if (!address) {
        return exit_code::wrong_usage;
    }
    admin_client client{*address};
    const auto response = client.get("/status");
    if (!response) {
        std::cerr << "no answer from the node\n";
        return exit_code::unreachable;
    }
    std::cout << response->body;
    return exit_code::success;
}

} // namespace goldcrestwell
