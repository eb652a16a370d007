#include "goldcrestwell/cli/command.hpp"
#include "goldcrestwell/cli/limit_overrides.hpp"
#include "goldcrestwell/cli/parsed_options.hpp"
#include "goldcrestwell/cli/process_options.hpp"
#include "goldcrestwell/cli/random_seed.hpp"
#include "goldcrestwell/cli/settings_file.hpp"
#include "goldcrestwell/platform/sidecar.hpp"
#include "goldcrestwell/shell/allocator.hpp"
#include "goldcrestwell/shell/signal_watch.hpp"
#include "goldcrestwell/shell/structured_log.hpp"
#include "goldcrestwell/shell/version.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <utility>

namespace goldcrestwell {

namespace {

limit_sources sources_of(const cxxopts::ParseResult& options) {
    return {.option = [&options](const std::string& name) -> std::optional<std::string> {
                return options.count(name) == 0 ? std::nullopt : std::optional{options[name].as<std::string>()};
            },
            .variable = [](const std::string& name) -> std::optional<std::string> {
                const auto* const text = std::getenv(name.c_str());
                return text == nullptr ? std::nullopt : std::optional<std::string>{text};
            }};
}

} // namespace

exit_code run_sidecar(const std::span<char*> arguments) {
    cxxopts::Options options{"goldcrestwell sidecar", "Runs the daemon beside an upstream on a platform with a store."};
    options.add_options()("settings", "Settings file, JSON with comments", cxxopts::value<std::string>(), "FILE");
    options.add_options()("memory-mb", "Memory in MB, instead of limits.memory_mb", cxxopts::value<std::string>(),
                          "MB");
    options.add_options()("max-fds", "Descriptors, instead of limits.max_fds", cxxopts::value<std::string>(), "COUNT");
    const auto parsed = parse_options(options, arguments);
    if (!parsed.values) {
        return parsed.exit_status;
    }
    if (parsed.values->count("settings") == 0) {
        std::cerr << options.help();
        return exit_code::wrong_usage;
    }
    const auto path = (*parsed.values)["settings"].as<std::string>();
    auto settings = load_sidecar_settings(path);
    if (!settings) {
        return exit_code::invalid_input;
    }
    if (const auto fault = override_limits(sources_of(*parsed.values), settings->limits)) {
        std::cerr << *fault << '\n';
        return exit_code::wrong_usage;
    }
    configure_log({.level = settings->logging.level, .file = settings->logging.file});
    configure_allocator();
    event_loop loop;
    auto process_options = to_process_options(*settings, loop.now().wall, random_seed());
    apply_limits(settings->limits, process_options);
    sidecar process{loop, *settings, std::move(process_options)};
    if (!process.start()) {
        write_log(log_level::error, "start_failed", {{"socket", to_string(process.last_reason())}});
        return exit_code::internal_error;
    }
    write_log(log_level::info, "started",
              {{"version", program_version()},
               {"node", to_string(settings->self)},
               {"data_centre", settings->data_centre.value},
               {"service", settings->upstream_service.value},
               {"memory_mb", settings->limits.memory_mb},
               {"max_fds", settings->limits.max_fds}});
    const signal_watch terminate{loop, SIGTERM, [&process] {
                                     write_log(log_level::info, "stop_requested");
                                     process.drain();
                                 }};
    const signal_watch reload{loop, SIGHUP, [&path] {
                                  const auto valid = load_sidecar_settings(path).has_value();
                                  write_log(valid ? log_level::info : log_level::error, "settings_reloaded",
                                            {{"valid", static_cast<unsigned>(valid)}});
                              }};
    loop.run();
    write_log(log_level::info, "stopped", {{"cut_calls", process.aborted_calls()}});
    return process.aborted_calls() == 0 ? exit_code::success : exit_code::calls_cut;
}

} // namespace goldcrestwell
