#ifndef GOLDCRESTWELL_SOAK_SOAK_CLUSTER_HPP
#define GOLDCRESTWELL_SOAK_SOAK_CLUSTER_HPP

#include "goldcrestwell/shell/event_loop.hpp"
#include "platform/fake_store.hpp"
#include "soak/delayed_tasks.hpp"
#include "soak/run_record.hpp"
#include "soak/soak_caller.hpp"
#include "soak/soak_upstream.hpp"
#include "system/child_process.hpp"
#include "system/tcp_relay.hpp"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestwell::soak {

/** @brief Options of a `soak_cluster`. */
struct soak_cluster_options {
    std::uint64_t seed{};
    std::size_t hosts{4};
    std::size_t callers_per_host{3};
};

/**
 * @brief Runs sidecars as child processes, with store, upstreams, callers and relays in this process.
 *
 * Each sidecar has separate relays to the store and to its upstream.
 */
class soak_cluster {
public:
    /** @brief Sidecar with its relays, upstream and callers. */
    struct soak_host {
        std::uint16_t peer_port{};
        std::uint16_t caller_port{};
        std::uint16_t ready_port{};
        std::uint16_t announcement_port{};
        std::uint16_t admin_port{};
        std::filesystem::path settings;
        std::unique_ptr<test::tcp_relay> store_relay;
        std::unique_ptr<test::tcp_relay> upstream_relay;
        std::unique_ptr<soak_upstream> upstream;
        std::vector<std::unique_ptr<soak_caller>> callers;
        std::unique_ptr<test::child_process> process;
        /** @brief Whether a signal that ends the process was sent. */
        bool terminating{};
        bool paused{};
        /** @brief Configuration version that the process last reported; 0 after a start. */
        std::uint64_t config_version{};
    };

    explicit soak_cluster(soak_cluster_options options);
    ~soak_cluster();

    soak_cluster(const soak_cluster&) = delete;
    soak_cluster& operator=(const soak_cluster&) = delete;

    [[nodiscard]] std::vector<std::unique_ptr<soak_host>>& hosts() noexcept { return hosts_; }
    [[nodiscard]] test::fake_store& store() noexcept { return store_; }
    [[nodiscard]] delayed_tasks& tasks() noexcept { return tasks_; }
    [[nodiscard]] run_record& record() noexcept { return record_; }

    /** @brief Writes the next version of the configuration to the store. */
    void publish_config();
    /** @brief Writes the newest version of the configuration, as soon as the store is there. */
    void write_config();
    /** @brief Ends a sidecar with a signal and starts it again after a delay. */
    void restart(soak_host& host, int signal, std::chrono::milliseconds delay);
    /** @brief Records a fault, so that requests may be cut off for some seconds. */
    void record_disturbance() noexcept { last_disturbance_ = loop_.now().steady; }

    void run_for(std::chrono::milliseconds time);
    /** @brief Waits until every sidecar is ready with the newest configuration; returns false after the timeout. */
    [[nodiscard]] bool wait_until_ready(std::chrono::milliseconds timeout);
    /** @brief Stops the callers, waits for their calls and records each wrong number of runs as a failure. */
    void stop_and_check_runs();

private:
    /** @brief Returns a port below the ephemeral range, so that no outgoing connection takes it during a restart. */
    [[nodiscard]] std::uint16_t allocate_port() noexcept { return ++last_port_; }
    void add_host(std::size_t index);
    void start(soak_host& host);
    /** @brief Checks the status of each sidecar and restarts those that ended unexpectedly. */
    void check_sidecars();
    void check_status(soak_host& host);
    [[nodiscard]] std::optional<std::string> get(std::uint16_t port, const std::string& target);
    [[nodiscard]] bool is_ready(const soak_host& host);
    [[nodiscard]] bool is_undisturbed_since(steady_time since) const;

    soak_cluster_options options_;
    event_loop loop_;
    delayed_tasks tasks_{loop_};
    run_record record_;
    std::filesystem::path directory_;
    std::uint16_t last_port_;
    std::uint16_t store_port_;
    test::fake_store store_;
    std::uint64_t config_version_{};
    std::optional<steady_time> last_disturbance_;
    std::vector<std::unique_ptr<soak_host>> hosts_;
};

} // namespace goldcrestwell::soak

#endif
