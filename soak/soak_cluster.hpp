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

/** @brief Size of a `soak_site`. */
struct soak_cluster_options {
    std::uint64_t seed{};
    std::size_t hosts{4};
    std::size_t callers_per_host{3};
};

/**
 * @brief Sidecars as processes; store, upstreams, callers and the relays between them in this process.
 *
 * Each sidecar reaches the store and its upstream through a relay of its own.
 */
class soak_cluster {
public:
    /** @brief One sidecar with what stands around it. */
    struct host {
        std::uint16_t peer_port{};
        std::uint16_t caller_port{};
        std::uint16_t ready_port{};
        std::uint16_t announcement_port{};
        std::uint16_t admin_port{};
        std::filesystem::path settings;
        std::unique_ptr<test::tcp_relay> store;
        std::unique_ptr<test::tcp_relay> path;
        std::unique_ptr<soak_upstream> upstream;
        std::vector<std::unique_ptr<soak_caller>> callers;
        std::unique_ptr<test::child_process> process;
        /** @brief A signal that ends the process was sent. */
        bool ending{};
        bool paused{};
        /** @brief Highest version of the configuration that the process has shown. */
        std::uint64_t version{};
    };

    explicit soak_cluster(soak_cluster_options options);
    ~soak_cluster();

    soak_cluster(const soak_cluster&) = delete;
    soak_cluster& operator=(const soak_cluster&) = delete;

    [[nodiscard]] std::vector<std::unique_ptr<host>>& hosts() noexcept { return hosts_; }
    [[nodiscard]] test::fake_store& store() noexcept { return store_; }
    [[nodiscard]] delayed_tasks& tasks() noexcept { return tasks_; }
    [[nodiscard]] run_record& record() noexcept { return record_; }

    /** @brief Writes the next version of the configuration. */
    void configure();
    /** @brief Sends a signal that ends a sidecar; it starts again after a pause. */
    void end(host& where, int signal, std::chrono::milliseconds pause);
    /** @brief Notes a fault that excuses cut requests for some seconds. */
    void disturb() noexcept { disturbed_ = loop_.now().steady; }

    void run_for(std::chrono::milliseconds time);
    /** @return True if every sidecar is ready with the newest configuration within the limit. */
    [[nodiscard]] bool settled(std::chrono::milliseconds limit);
    /** @brief Stops the callers and adds what the record shows about runs to its failures. */
    void conclude();

private:
    /** @brief Below the range of outgoing connections, which would take the port of a sidecar that starts again. */
    [[nodiscard]] std::uint16_t next_port() noexcept { return ++last_port_; }
    void add_host(std::size_t index);
    void start(host& where);
    /** @brief Starts ended sidecars again and checks what their status shows. */
    void watch();
    void check_status(host& where);
    [[nodiscard]] std::optional<std::string> get(std::uint16_t port, const std::string& target);
    [[nodiscard]] bool ready(const host& where);
    [[nodiscard]] bool calm(steady_time since) const;

    soak_cluster_options options_;
    event_loop loop_;
    delayed_tasks tasks_{loop_};
    run_record record_;
    std::filesystem::path folder_;
    std::uint16_t last_port_;
    std::uint16_t store_port_;
    test::fake_store store_;
    std::uint64_t version_{};
    std::optional<steady_time> disturbed_;
    std::vector<std::unique_ptr<host>> hosts_;
};

} // namespace goldcrestwell::soak

#endif
