#include "goldcrestwell/cli/command.hpp"
#include "goldcrestwell/cli/load_run.hpp"
#include "goldcrestwell/cli/parsed_options.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/shell/http_method.hpp"

#include <charconv>
#include <csignal>
#include <iostream>
#include <optional>

namespace goldcrestwell {

namespace {

void add_load_options(cxxopts::Options& options) {
    const auto text = [](const char* initial) {
        return cxxopts::value<std::string>()->default_value(initial);
    };
    options.add_options()("target", "Where calls go, in turn; may be repeated",
                          cxxopts::value<std::vector<std::string>>(), "ADDRESS:PORT");
    options.add_options()("path", "Path of the calls", text("/"));
    options.add_options()("method", "Method of the calls", text("GET"));
    options.add_options()("rate", "Calls started per second in all", cxxopts::value<double>()->default_value("80"));
    options.add_options()("connections", "Connections to each target", text("16"));
    options.add_options()("duration-s", "Measured time", text("10"));
    options.add_options()("warm-up-s", "Time before the measurement", text("2"));
    options.add_options()("body-bytes", "Size of the request body", text("0"));
    options.add_options()("timeout-ms", "Longest wait for an answer, from the planned start", text("10000"));
    options.add_options()("seed", "Seed of the start times", text("1"));
}

/** @brief Reads options that are whole numbers and prints an error for each invalid one. */
class number_reader {
public:
    explicit number_reader(const cxxopts::ParseResult& values) : values_{values} {}

    [[nodiscard]] std::uint32_t read(const char* name, const std::uint32_t min_value) {
        const auto& text = values_[name].as<std::string>();
        std::uint32_t number{};
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc{} || end != text.data() + text.size() || number < min_value) {
            std::cerr << "--" << name << ": '" << text << "' is not a whole number from " << min_value << '\n';
            valid_ = false;
        }
        return number;
    }

    [[nodiscard]] bool valid() const noexcept { return valid_; }

private:
    const cxxopts::ParseResult& values_;
    bool valid_{true};
};

std::optional<std::vector<endpoint>> read_targets(const cxxopts::ParseResult& values) {
    if (values.count("target") == 0) {
        std::cerr << "--target is required\n";
        return std::nullopt;
    }
    std::vector<endpoint> targets;
    for (const auto& text : values["target"].as<std::vector<std::string>>()) {
        const auto parsed = parse_node_id(text);
        if (!parsed) {
            std::cerr << "--target: '" << text << "' is not an IPv4 address and port\n";
            return std::nullopt;
        }
        targets.push_back(to_endpoint(*parsed));
    }
    return targets;
}

std::optional<load_options> read_load_options(const cxxopts::ParseResult& values) {
    auto targets = read_targets(values);
    if (!targets) {
        return std::nullopt;
    }
    number_reader numbers{values};
    load_options options{.targets = std::move(*targets),
                         .method = values["method"].as<std::string>(),
                         .path = values["path"].as<std::string>(),
                         .body_bytes = numbers.read("body-bytes", 0),
                         .rate = values["rate"].as<double>(),
                         .connections = numbers.read("connections", 1),
                         .duration = std::chrono::seconds{numbers.read("duration-s", 1)},
                         .warm_up = std::chrono::seconds{numbers.read("warm-up-s", 0)},
                         .timeout = std::chrono::milliseconds{numbers.read("timeout-ms", 1)},
                         .seed = numbers.read("seed", 0)};
    if (!numbers.valid()) {
        return std::nullopt;
    }
    if (!method_type(options.method) || !options.path.starts_with('/') || !(options.rate > 0)) {
        std::cerr << "--method must be known, --path must start with '/' and --rate must be above 0\n";
        return std::nullopt;
    }
    return options;
}

} // namespace

exit_code run_load(const std::span<char*> arguments) {
    cxxopts::Options options{"goldcrestwell load", "Sends calls at a fixed rate and checks and times the answers."};
    add_load_options(options);
    const auto parsed = parse_options(options, arguments);
    if (!parsed.values) {
        return parsed.exit_status;
    }
    const auto load = read_load_options(*parsed.values);
    if (!load) {
        return exit_code::wrong_usage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    event_loop loop{timer_precision::microseconds};
    load_run run{loop, *load};
    run.run();
    std::cout << run.report().table(load->duration);
    return run.report().foreign_responses() == 0 ? exit_code::success : exit_code::internal_error;
}

} // namespace goldcrestwell
