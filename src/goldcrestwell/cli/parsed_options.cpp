#include "goldcrestwell/cli/parsed_options.hpp"

#include <iostream>

namespace goldcrestwell {

parsed_options parse_options(cxxopts::Options& options, const std::span<char*> arguments) {
    options.add_options()("h,help", "Show this help");
    try {
        auto values = options.parse(static_cast<int>(arguments.size()), arguments.data());
        if (values.count("help") != 0) {
            std::cout << options.help();
            return {};
        }
        if (!values.unmatched().empty()) {
            std::cerr << "unexpected argument: " << values.unmatched().front() << '\n';
            return {.exit_status = exit_code::wrong_usage};
        }
        return {.values = std::move(values)};
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << '\n' << options.help();
        return {.exit_status = exit_code::wrong_usage};
    }
}

} // namespace goldcrestwell
