#ifndef GOLDCRESTWELL_TEST_SYSTEM_TEST_CLUSTER_HPP
#define GOLDCRESTWELL_TEST_SYSTEM_TEST_CLUSTER_HPP

#include "system/child_process.hpp"
#include "system/command_result.hpp"
#include "system/test_loop.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestwell::test {

/** @brief One node and its upstream. */
struct cluster_member {
    std::string data_centre{"north-1"};
    /** @brief Version of the local upstream; empty if the node has none. */
    std::string version{"v1"};
    /** @brief False if the test announces the upstream itself. */
    bool announces{true};
};

/** @brief Ports, members and upstreams of a cluster. */
struct cluster_options {
    /** @brief First of 60 ports. Each test case has its own range, so that it cannot reach processes of another. */
    std::uint16_t first_port{};
    std::vector<cluster_member> members{
        {.data_centre = "north-1"}, {.data_centre = "north-1"}, {.data_centre = "north-2"}};
    std::chrono::milliseconds work{5};
    std::chrono::milliseconds log_long_poll{20'000};
    std::chrono::milliseconds log_request_timeout{5'000};
};

/** @brief Platform log, nodes and upstreams as processes on loopback, with settings in a temporary directory. */
class test_cluster {
public:
    explicit test_cluster(cluster_options options);
    ~test_cluster();

    test_cluster(const test_cluster&) = delete;
    test_cluster& operator=(const test_cluster&) = delete;

    [[nodiscard]] test_loop& loop() noexcept { return loop_; }
    [[nodiscard]] std::size_t size() const noexcept { return options_.members.size(); }

    [[nodiscard]] std::uint16_t log_port() const noexcept { return options_.first_port; }
    [[nodiscard]] std::uint16_t peer_port(std::size_t index) const noexcept { return port(10, index); }
    [[nodiscard]] std::uint16_t caller_port(std::size_t index) const noexcept { return port(20, index); }
    [[nodiscard]] std::uint16_t admin_port(std::size_t index) const noexcept { return port(30, index); }
    [[nodiscard]] std::uint16_t upstream_port(std::size_t index) const noexcept { return port(40, index); }
    [[nodiscard]] std::uint16_t relay_port(std::size_t index) const noexcept { return port(50, index); }
    [[nodiscard]] std::vector<std::uint16_t> caller_ports(const std::vector<std::size_t>& indices) const;

    [[nodiscard]] child_process& node(const std::size_t index) { return *nodes_.at(index); }
    [[nodiscard]] child_process& upstream(const std::size_t index) { return *upstreams_.at(index); }
    /** @brief Restarts a node with the same settings; its previous process must have ended. */
    void start_node(std::size_t index);

    /** @brief Waits until every node is ready and knows every upstream; returns false on a timeout or an ended node. */
    [[nodiscard]] bool wait_until_ready();
    [[nodiscard]] bool ready(std::size_t index);
    /** @brief Returns the response of `/status`, or a discarded value if the node does not respond. */
    [[nodiscard]] nlohmann::json status(std::size_t index);
    /** @brief Returns the version of the table in force on a node, zero if the node does not respond. */
    [[nodiscard]] std::uint64_t config_version(std::size_t index);
    /** @brief Checks whether the nodes have the same table, of this version or newer. */
    [[nodiscard]] bool in_force(std::uint64_t version, const std::vector<std::size_t>& indices);
    [[nodiscard]] std::string table(std::size_t index);

    /** @brief Writes a CSV file with the given rows and a header of the columns that an operator edits. */
    [[nodiscard]] std::filesystem::path write_table(const std::string& rows, bool with_row_versions = false);
    [[nodiscard]] std::unique_ptr<child_process> start_command(const std::vector<std::string>& arguments,
                                                               const std::filesystem::path& output) const;
    [[nodiscard]] command_result finish_command(child_process& command, const std::filesystem::path& output);
    [[nodiscard]] command_result command(const std::vector<std::string>& arguments);
    /** @brief Applies rows through a node. */
    [[nodiscard]] command_result apply(std::size_t index, const std::string& rows);
    [[nodiscard]] std::filesystem::path new_file(const std::string& suffix);
    [[nodiscard]] std::string node_address(std::size_t index) const;

    /** @brief Returns the runs of each request id over all upstreams; an ended one counts with its last known runs. */
    [[nodiscard]] std::map<std::string, std::uint64_t> runs();
    /** @brief Returns the number of calls that an upstream has started. */
    [[nodiscard]] std::uint64_t started_calls(std::size_t index);
    [[nodiscard]] bool set_upstream_faults(std::size_t index, const std::string& faults);
    [[nodiscard]] bool set_log_faults(const std::string& faults);
    /** @brief Returns the number of invariant violations over the nodes that respond. */
    [[nodiscard]] std::uint64_t violations();

private:
    [[nodiscard]] std::uint16_t port(const std::size_t offset, const std::size_t index) const noexcept {
        return static_cast<std::uint16_t>(options_.first_port + offset + index);
    }
    void write_settings(std::size_t index) const;
    void start_upstream(std::size_t index);
    [[nodiscard]] bool all_running();
    [[nodiscard]] std::string get(std::uint16_t port, const std::string& target);
    [[nodiscard]] bool post(std::uint16_t port, const std::string& target);
    void print_logs() const;

    cluster_options options_;
    test_loop loop_;
    std::filesystem::path directory_;
    std::uint64_t file_count_{};
    std::unique_ptr<child_process> log_;
    std::vector<std::unique_ptr<child_process>> nodes_;
    std::vector<std::unique_ptr<child_process>> upstreams_;
    std::vector<std::map<std::string, std::uint64_t>> last_known_runs_;
};

/** @brief Returns the offset in the output of an accepted edit, zero if there is none. */
[[nodiscard]] std::uint64_t offset_of(const command_result& result);

} // namespace goldcrestwell::test

#endif
