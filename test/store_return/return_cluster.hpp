#ifndef GOLDCRESTWELL_TEST_STORE_RETURN_RETURN_CLUSTER_HPP
#define GOLDCRESTWELL_TEST_STORE_RETURN_RETURN_CLUSTER_HPP

#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_connection.hpp"
#include "goldcrestwell/shell/http_server.hpp"
#include "goldcrestwell/shell/timer.hpp"
#include "platform/fake_store.hpp"
#include "store_return/route_caller.hpp"
#include "store_return/routed_call.hpp"
#include "system/child_process.hpp"
#include "system/tcp_relay.hpp"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestwell::test {

/** @brief Options of a `return_cluster`. */
struct return_cluster_options {
    /** @brief First of the ports of the cluster; seven a host and one more are used. */
    std::uint16_t first_port{};
    /** @brief More than the three of a data centre that read the store immediately, so that one is on standby. */
    std::size_t hosts_per_data_centre{4};
};

/** @brief Content of a configuration: the service of the route `item_target`, and whether `added_target` exists. */
struct route_plan {
    std::string item_service;
    bool has_added_route{};
};

/**
 * @brief Sidecars of two data centres as child processes, with the store, upstreams and callers in this process.
 *
 * Half of the upstreams serve the service `old`, the others `new`. Callers send requests for both routes to every node
 * all the time, and the status of each node is read to check that its configuration version never decreases.
 */
class return_cluster {
public:
    static constexpr const char* item_target = "/item/1";
    static constexpr const char* added_target = "/added/1";

    struct host {
        std::uint16_t peer_port{};
        std::uint16_t caller_port{};
        std::uint16_t ready_port{};
        std::uint16_t announcement_port{};
        std::uint16_t admin_port{};
        std::uint16_t upstream_port{};
        std::uint16_t store_port{};
        std::string data_centre;
        std::string service;
        std::filesystem::path settings;
        std::uint64_t sequence{};
        std::unique_ptr<http_server> upstream;
        std::unique_ptr<tcp_relay> store_relay;
        std::unique_ptr<http_connection> announcement;
        std::unique_ptr<http_connection> status_connection;
        std::vector<std::unique_ptr<route_caller>> callers;
        std::unique_ptr<child_process> process;
        /** @brief Configuration version that the process last reported; 0 after a start. */
        std::uint64_t config_version{};
        /** @brief Times at which the process reported a lower version than before. */
        std::size_t version_decreases{};
        /** @brief Status of the last call to `item_target`. */
        std::uint32_t last_item_status{};
    };

    explicit return_cluster(return_cluster_options options);
    ~return_cluster();

    return_cluster(const return_cluster&) = delete;
    return_cluster& operator=(const return_cluster&) = delete;

    [[nodiscard]] std::vector<std::unique_ptr<host>>& hosts() noexcept { return hosts_; }
    [[nodiscard]] fake_store& store() noexcept { return store_; }
    [[nodiscard]] const std::vector<routed_call>& calls() const noexcept { return calls_; }
    [[nodiscard]] steady_time now() const { return loop_.now().steady; }

    /** @brief Starts all nodes and waits until each one answers calls by the given version. */
    [[nodiscard]] bool start_all(std::uint64_t version, const route_plan& plan);
    void write_config(std::uint64_t version, const route_plan& plan);
    /** @brief Waits until every node reports a version and answers calls. */
    [[nodiscard]] bool wait_for_version(std::uint64_t version);
    /** @brief Begins an outage; a closed store resets its connections. */
    void begin_outage(const store_outage& outage);
    /** @brief Kills the process of a host and starts it again. */
    void restart(host& target);
    /** @brief Makes the store unreachable for a host, or reachable again. */
    static void cut_from_store(const host& target, bool cut);

    void run_for(std::chrono::milliseconds duration);
    void run_until(steady_time time);

private:
    [[nodiscard]] bool wait_for(const std::function<bool()>& condition);
    void add_host(std::size_t index);
    void start(host& target);
    void announce(host& target);
    void read_status(host& target);
    void on_interval();

    return_cluster_options options_;
    event_loop loop_;
    std::filesystem::path directory_;
    std::uint16_t next_port_;
    std::uint16_t store_port_;
    fake_store store_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::vector<routed_call> calls_;
    timer interval_timer_;
};

} // namespace goldcrestwell::test

#endif
