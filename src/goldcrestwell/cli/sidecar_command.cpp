#include "goldcrestwell/cli/command.hpp"
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
#include <string>
#include <utility>

namespace goldcrestwell {

namespace {

/** @brief Reads a whole number from an option, which may have a fraction; returns false if it is out of range. */
bool read_limit(const cxxopts::ParseResult& values, const std::string& name, const std::size_t min_value,
                const std::size_t max_value, std::size_t& to) {
    if (values.count(name) == 0) {
        return true;
    }
    const auto& text = values[name].as<std::string>();
    char* end{};
    const auto number = std::strtod(text.c_str(), &end);
    const auto in_range = number >= static_cast<double>(min_value) && number <= static_cast<double>(max_value);
    if (text.empty() || *end != '\0' || !in_range) {
        std::cerr << "--" << name << ": expected " << min_value << " to " << max_value << ", got \"" << text << "\"\n";
        return false;
    }
    to = static_cast<std::size_t>(number);
    return true;
}

bool override_limits(const cxxopts::ParseResult& values, resource_settings& limits) {
    return read_limit(values, "memory-mb", min_memory_mb, max_memory_mb, limits.memory_mb) &&
           read_limit(values, "max-fds", min_descriptors, max_descriptors, limits.max_fds);
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
    if (!override_limits(*parsed.values, settings->limits)) {
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
               {"service", settings->upstream_service.value}});
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
