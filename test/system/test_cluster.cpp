#include "system/test_cluster.hpp"

#include "goldcrestwell/cli/file_text.hpp"

#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace goldcrestwell::test {

namespace {

using nlohmann::json;

constexpr std::uint32_t status_ok = 200;
constexpr std::chrono::seconds request_timeout{5};
constexpr std::size_t max_printed_log_bytes = 4000;
constexpr const char* editable_columns =
    "route,service,upstream_version,weight,deadline,max_in_flight,max_connections,max_queue,timeout_ms,idempotent,"
    "on_thin_evidence";

std::filesystem::path make_temporary_directory() {
    auto name = (std::filesystem::temp_directory_path() / "goldcrestwell-system-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error{"cannot create a temporary folder"};
    }
    return name;
}

std::string loopback_address(const std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

bool current_test_failed() {
    const auto& current = boost::unit_test::framework::current_test_case();
    return !boost::unit_test::results_collector.results(current.p_id).passed();
}

} // namespace

test_cluster::test_cluster(cluster_options options)
    : options_{std::move(options)}, directory_{make_temporary_directory()} {
    log_ = std::make_unique<child_process>(
        std::vector<std::string>{GOLDCRESTWELL_STAND_IN_LOG, "--port", std::to_string(log_port())},
        directory_ / "platform-log.log");
    nodes_.resize(size());
    upstreams_.resize(size());
    last_known_runs_.resize(size());
    for (std::size_t index = 0; index < size(); ++index) {
        write_settings(index);
        start_node(index);
        if (!options_.members[index].version.empty()) {
            start_upstream(index);
        }
    }
}

test_cluster::~test_cluster() {
    nodes_.clear();
    upstreams_.clear();
    log_.reset();
    if (current_test_failed()) {
        print_logs();
    }
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

std::vector<std::uint16_t> test_cluster::caller_ports(const std::vector<std::size_t>& indices) const {
    std::vector<std::uint16_t> ports;
    ports.reserve(indices.size());
    for (const auto index : indices) {
        ports.push_back(caller_port(index));
    }
    return ports;
}

void test_cluster::start_node(const std::size_t index) {
    const auto name = "node-" + std::to_string(index);
    nodes_[index] = std::make_unique<child_process>(
        std::vector<std::string>{GOLDCRESTWELL_PROGRAM, "node", "--settings", directory_ / (name + ".json")},
        directory_ / (name + ".log"));
}

bool test_cluster::wait_until_ready() {
    const auto upstreams = std::count_if(options_.members.begin(), options_.members.end(),
                                         [](const cluster_member& entry) { return !entry.version.empty(); });
    const auto settled = loop_.wait_until([&] {
        for (std::size_t index = 0; index < size(); ++index) {
            const auto report = status(index);
            if (!report.is_object() || !report["ready"].get<bool>()) {
                return false;
            }
            const auto& members = report["members"];
            if (std::count_if(members.begin(), members.end(),
                              [](const json& entry) { return entry.contains("service"); }) != upstreams) {
                return false;
            }
        }
        return true;
    });
    return all_running() && settled;
}

bool test_cluster::all_running() {
    const auto running = [](const std::unique_ptr<child_process>& process) {
        return process == nullptr || !process->exit_status();
    };
    // A process left by an earlier run may hold a port, and its responses would be taken for those of the new process.
    const auto all = running(log_) && std::all_of(nodes_.begin(), nodes_.end(), running) &&
                     std::all_of(upstreams_.begin(), upstreams_.end(), running);
    BOOST_CHECK_MESSAGE(all, "a process has ended early; its ports may be taken");
    return all;
}

bool test_cluster::ready(const std::size_t index) {
    const auto report = status(index);
    return report.is_object() && report["ready"].get<bool>();
}

json test_cluster::status(const std::size_t index) {
    return json::parse(get(admin_port(index), "/status"), nullptr, false);
}

std::uint64_t test_cluster::config_version(const std::size_t index) {
    const auto report = status(index);
    return report.is_object() ? report["config_version"].get<std::uint64_t>() : 0;
}

bool test_cluster::in_force(const std::uint64_t version, const std::vector<std::size_t>& indices) {
    const auto first = config_version(indices.front());
    return first >= version && std::all_of(indices.begin(), indices.end(),
                                           [&](const auto index) { return config_version(index) == first; });
}

std::string test_cluster::table(const std::size_t index) {
    return get(admin_port(index), "/table");
}

std::filesystem::path test_cluster::write_table(const std::string& rows, const bool with_row_versions) {
    auto path = new_file(".csv");
    std::ofstream{path} << editable_columns << (with_row_versions ? ",row_version\n" : "\n") << rows;
    return path;
}

std::unique_ptr<child_process> test_cluster::start_command(const std::vector<std::string>& arguments,
                                                           const std::filesystem::path& output) const {
    std::vector<std::string> all{GOLDCRESTWELL_PROGRAM};
    all.insert(all.end(), arguments.begin(), arguments.end());
    return std::make_unique<child_process>(all, output);
}

command_result test_cluster::finish_command(child_process& command, const std::filesystem::path& output) {
    command_result result;
    loop_.wait_until([&] { return (result.code = command.exit_status()).has_value(); });
    result.output = read_file(output.string()).value_or("");
    return result;
}

command_result test_cluster::command(const std::vector<std::string>& arguments) {
    const auto output = new_file(".txt");
    const auto process = start_command(arguments, output);
    return finish_command(*process, output);
}

command_result test_cluster::apply(const std::size_t index, const std::string& rows) {
    return command({"table", "apply", write_table(rows).string(), "--node", node_address(index)});
}

std::filesystem::path test_cluster::new_file(const std::string& suffix) {
    return directory_ / ("file-" + std::to_string(++file_count_) + suffix);
}

std::string test_cluster::node_address(const std::size_t index) const {
    return loopback_address(admin_port(index));
}

std::map<std::string, std::uint64_t> test_cluster::runs() {
    std::map<std::string, std::uint64_t> total;
    for (std::size_t index = 0; index < size(); ++index) {
        const auto report = json::parse(get(upstream_port(index), "/runs?all=1"), nullptr, false);
        if (report.is_object()) {
            last_known_runs_[index] = report["runs"].get<std::map<std::string, std::uint64_t>>();
        }
        for (const auto& [id, run_count] : last_known_runs_[index]) {
            total[id] += run_count;
        }
    }
    return total;
}

std::uint64_t test_cluster::started_calls(const std::size_t index) {
    const auto report = json::parse(get(upstream_port(index), "/runs"), nullptr, false);
    return report.is_object() ? report["calls"].get<std::uint64_t>() : 0;
}

bool test_cluster::set_upstream_faults(const std::size_t index, const std::string& faults) {
    return post(upstream_port(index), "/faults?" + faults);
}

bool test_cluster::set_log_faults(const std::string& faults) {
    return post(log_port(), "/faults?" + faults);
}

std::uint64_t test_cluster::violations() {
    std::uint64_t total{};
    for (std::size_t index = 0; index < size(); ++index) {
        const auto report = status(index);
        total += report.is_object() ? report["invariant_violations"].get<std::uint64_t>() : 0;
    }
    return total;
}

void test_cluster::write_settings(const std::size_t index) const {
    json seeds = json::array();
    for (std::size_t other = 0; other < size(); ++other) {
        if (other != index) {
            seeds.push_back(loopback_address(peer_port(other)));
        }
    }
    const json settings{
        {"host", "127.0.0.1"},
        {"peer_port", peer_port(index)},
        {"data_centre", options_.members[index].data_centre},
        {"region", "north"},
        {"seeds", seeds},
        {"caller_listener", {{"address", "127.0.0.1"}, {"port", caller_port(index)}}},
        {"admin_listener", {{"port", admin_port(index)}}},
        {"platform_log",
         {{"address", loopback_address(log_port())},
          {"long_poll_ms", options_.log_long_poll.count()},
          {"request_timeout_ms", options_.log_request_timeout.count()}}},
        {"moves", {{"dwell_ms", 1000}, {"min_samples", 20}, {"bake_time_s", 60}}},
    };
    std::ofstream{directory_ / ("node-" + std::to_string(index) + ".json")} << settings.dump(2);
}

void test_cluster::start_upstream(const std::size_t index) {
    const auto& member = options_.members[index];
    std::vector<std::string> arguments{GOLDCRESTWELL_STAND_IN_UPSTREAM,
                                       "--port",
                                       std::to_string(upstream_port(index)),
                                       "--service",
                                       "orders",
                                       "--version",
                                       member.version,
                                       "--work-ms",
                                       std::to_string(options_.work.count())};
    if (member.announces) {
        arguments.insert(arguments.end(), {"--node", node_address(index)});
    }
    upstreams_[index] =
        std::make_unique<child_process>(arguments, directory_ / ("upstream-" + std::to_string(index) + ".log"));
}

std::string test_cluster::get(const std::uint16_t port, const std::string& target) {
    const auto result = loop_.request(port, {.target = target, .timeout = request_timeout});
    return result.outcome == upstream_outcome::answered && result.response.status == status_ok
               ? result.response.body.str()
               : "";
}

bool test_cluster::post(const std::uint16_t port, const std::string& target) {
    const auto result = loop_.request(port, {.method = "POST", .target = target, .timeout = request_timeout});
    return result.outcome == upstream_outcome::answered && result.response.status == status_ok;
}

void test_cluster::print_logs() const {
    for (const auto& entry : std::filesystem::directory_iterator{directory_}) {
        if (entry.path().extension() == ".log") {
            const auto text = read_file(entry.path().string()).value_or("");
            std::cerr << "==== " << entry.path().filename().string() << '\n'
                      << text.substr(text.size() - std::min(text.size(), max_printed_log_bytes)) << '\n';
        }
    }
}

std::uint64_t offset_of(const command_result& result) {
    const auto document = json::parse(result.output, nullptr, false);
    return document.is_object() ? document.value("offset", std::uint64_t{}) : 0;
}

} // namespace goldcrestwell::test
