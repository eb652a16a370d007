#include "goldcrestwell/cli/command.hpp"
#include "goldcrestwell/cli/parsed_options.hpp"
#include "goldcrestwell/cli/process_options.hpp"
#include "goldcrestwell/cli/random_seed.hpp"
#include "goldcrestwell/cli/settings_file.hpp"
#include "goldcrestwell/shell/allocator.hpp"
#include "goldcrestwell/shell/signal_watch.hpp"
#include "goldcrestwell/shell/structured_log.hpp"
#include "goldcrestwell/shell/version.hpp"

#include <csignal>
#include <iostream>
#include <string>
#include <utility>

namespace goldcrestwell {

exit_code run_node(const std::span<char*> arguments) {
    cxxopts::Options options{"goldcrestwell node", "Runs the daemon beside an upstream."};
    options.add_options()("settings", "Settings file, JSON with comments", cxxopts::value<std::string>(), "FILE");
    const auto parsed = parse_options(options, arguments);
    if (!parsed.values) {
        return parsed.exit_status;
    }
    if (parsed.values->count("settings") == 0) {
        std::cerr << options.help();
        return exit_code::wrong_usage;
    }
    const auto settings = load_settings((*parsed.values)["settings"].as<std::string>());
    if (!settings) {
        return exit_code::invalid_input;
    }
    configure_log({.level = settings->logging.level, .file = settings->logging.file});
    configure_allocator();
    event_loop loop;
    auto process_options = to_process_options(*settings, loop.now().wall, random_seed());
    apply_limits(settings->limits, process_options);
    node_process process{loop, std::move(process_options)};
    if (!process.start()) {
        write_log(log_level::error, "start_failed", {{"socket", to_string(process.last_reason())}});
        return exit_code::internal_error;
    }
    write_log(log_level::info, "started",
              {{"version", program_version()},
               {"node", to_string(settings->self)},
               {"data_centre", settings->data_centre.value}});
    const signal_watch terminate{loop, SIGTERM, [&process] {
                                     process.drain();
                                 }};
    const signal_watch interrupt{loop, SIGINT, [&process] {
                                     process.drain();
                                 }};
    loop.run();
    return process.aborted_calls() == 0 ? exit_code::success : exit_code::calls_cut;
}

} // namespace goldcrestwell
