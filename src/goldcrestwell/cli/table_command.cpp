#include "goldcrestwell/cli/admin_client.hpp"
#include "goldcrestwell/cli/command.hpp"
#include "goldcrestwell/cli/file_text.hpp"
#include "goldcrestwell/cli/node_address.hpp"
#include "goldcrestwell/cli/parsed_options.hpp"
#include "goldcrestwell/cli/table_edit_file.hpp"
#include "goldcrestwell/cli/table_text.hpp"
#include "goldcrestwell/codec/record_codec.hpp"

#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace goldcrestwell {

namespace {

constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_conflict = 409;
constexpr std::chrono::milliseconds watch_interval{1'000};
/** @brief The request is repeated because the first response may be lost; an edit can safely be appended twice. */
constexpr int max_apply_attempts = 2;

std::uint64_t random_bits() {
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

exit_code report_no_response() {
    std::cerr << "no answer from the node\n";
    return exit_code::unreachable;
}

exit_code print(const std::optional<http_response>& response, const bool aligned) {
    if (!response) {
        return report_no_response();
    }
    if (response->status != status_ok) {
        std::cerr << response->body;
        return exit_code::refused;
    }
    std::cout << (aligned ? to_aligned_text(response->body) : response->body);
    return exit_code::success;
}

exit_code print_verdict(const std::optional<http_response>& response, const edit_id& id) {
    if (response && response->status == status_ok) {
        std::cout << response->body;
        return exit_code::success;
    }
    if (response && response->status == status_conflict) {
        std::cerr << response->body;
        return exit_code::refused;
    }
    std::cerr << "outcome unknown; the edit may have taken effect. Ask later: goldcrestwell table result "
              << to_string(id) << '\n';
    return exit_code::outcome_unknown;
}

exit_code apply(admin_client& client, const std::string& path) {
    const auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return exit_code::invalid_input;
    }
    const auto table = client.get("/table");
    if (!table || table->status != status_ok) {
        return report_no_response();
    }
    table_edit_file file;
    auto changes = file.changes(*text, table->body);
    if (!changes) {
        for (const auto& fault : file.faults()) {
            std::cerr << path << ": " << to_string(fault) << '\n';
        }
        return exit_code::invalid_input;
    }
    if (changes->empty()) {
        std::cout << "no row differs from the table in force\n";
        return exit_code::success;
    }
    const table_edit edit{.id = {.high = random_bits(), .low = random_bits()},
                          .created_at = event_loop{}.now().wall,
                          .changes = std::move(*changes)};
    std::optional<http_response> response;
    for (int attempt = 0; attempt < max_apply_attempts && !response; ++attempt) {
        response = client.post("/edits", encode(edit));
        if (!response && client.last_outcome() == upstream_outcome::not_sent && attempt == 0) {
            return report_no_response();
        }
    }
    return print_verdict(response, edit.id);
}

exit_code watch(admin_client& client) {
    std::string last_table;
    for (;;) {
        const auto response = client.get("/table");
        if (!response) {
            return report_no_response();
        }
        if (response->body != last_table) {
            last_table = response->body;
            std::cout << to_aligned_text(last_table) << std::endl;
        }
        client.wait(watch_interval);
    }
}

exit_code print_result(admin_client& client, const std::string& text) {
    const auto id = parse_edit_id(text);
    if (!id) {
        std::cerr << "an edit id has 32 hexadecimal digits\n";
        return exit_code::wrong_usage;
    }
    return print_verdict(client.get("/edits?id=" + text), *id);
}

} // namespace

exit_code run_table(const std::span<char*> arguments) {
    cxxopts::Options options{"goldcrestwell table", "Shows and changes the operators' table."};
    add_node_option(options);
    options.add_options()("action", "show, export, apply, watch or result", cxxopts::value<std::string>());
    options.add_options()("argument", "CSV file of apply ('-' reads the standard input), edit id of result",
                          cxxopts::value<std::string>()->default_value(""));
    options.parse_positional({"action", "argument"});
    options.positional_help("show|export|apply FILE|watch|result ID");
    const auto parsed = parse_options(options, arguments);
    if (!parsed.values) {
        return parsed.exit_status;
    }
    const auto address = node_address(*parsed.values);
    const auto action = parsed.values->count("action") == 0 ? "" : (*parsed.values)["action"].as<std::string>();
    const auto argument = (*parsed.values)["argument"].as<std::string>();
    const auto needs_argument = action == "apply" || action == "result";
    if (!address || needs_argument == argument.empty()) {
        std::cerr << options.help();
        return exit_code::wrong_usage;
    }
    admin_client client{*address};
    if (action == "show") {
        return print(client.get("/table"), true);
    }
    if (action == "export") {
        return print(client.get("/table"), false);
    }
    if (action == "apply") {
        return apply(client, argument);
    }
    if (action == "watch") {
        return watch(client);
    }
    if (action == "result") {
        return print_result(client, argument);
    }
    std::cerr << options.help();
    return exit_code::wrong_usage;
}

} // namespace goldcrestwell
