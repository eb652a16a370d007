#include "goldcrestwell/cli/command.hpp"
#include "goldcrestwell/cli/parsed_options.hpp"
#include "goldcrestwell/cli/settings_file.hpp"

#include <iostream>
#include <string>

namespace goldcrestwell {

exit_code run_check(const std::span<char*> arguments) {
    cxxopts::Options options{"goldcrestwell check", "Validates a settings file and names every fault."};
    options.add_options()("file", "Settings file, JSON with comments", cxxopts::value<std::string>(), "FILE");
    options.parse_positional({"file"});
    options.positional_help("FILE");
    const auto parsed = parse_options(options, arguments);
    if (!parsed.values) {
        return parsed.exit_status;
    }
    if (parsed.values->count("file") == 0) {
        std::cerr << options.help();
        return exit_code::wrong_usage;
    }
    const auto path = (*parsed.values)["file"].as<std::string>();
    if (!load_settings(path)) {
        return exit_code::invalid_input;
    }
    std::cout << path << ": valid\n";
    return exit_code::success;
}

} // namespace goldcrestwell
