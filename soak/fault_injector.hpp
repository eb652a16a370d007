#ifndef GOLDCRESTWELL_SOAK_FAULT_INJECTOR_HPP
#define GOLDCRESTWELL_SOAK_FAULT_INJECTOR_HPP

#include "platform/store_copy.hpp"
#include "soak/fault_injector_options.hpp"
#include "soak/soak_cluster.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace goldcrestwell::soak {

/** @brief Injects random faults and planned work, which can overlap, from outside the processes. */
class fault_injector {
public:
    fault_injector(soak_cluster& cluster, const fault_injector_options& options);

    /** @brief Starts a random fault or planned work; a fault ends by itself after a random time. */
    void inject_fault();
    /** @brief Ends all faults that are still in effect; with returns of the store, it then returns from a copy. */
    void clear_faults();
    /** @brief Returns descriptions of the injected faults in the order of injection. */
    [[nodiscard]] const std::vector<std::string>& log() const noexcept { return log_; }

private:
    using soak_host = soak_cluster::soak_host;

    void inject_planned_work();
    void inject_process_fault(soak_host& host);
    void inject_network_fault(soak_host& host);
    void inject_store_fault();
    void inject_store_return();
    void end_store_outage(const test::store_copy& copy);
    void inject_upstream_fault(soak_host& host);
    void inject_one_way_hold(test::tcp_relay& relay, const std::string& name);
    void record_fault(const std::string& description, const soak_host* host = nullptr);
    [[nodiscard]] soak_host& random_host();
    [[nodiscard]] int random_int(int max);
    [[nodiscard]] std::chrono::milliseconds random_duration(int min_ms, int max_ms);

    soak_cluster& cluster_;
    fault_injector_options options_;
    std::mt19937_64 random_;
    /** @brief Copies of the store taken before the last faults, the oldest first. */
    std::deque<test::store_copy> copies_;
    std::vector<std::string> log_;
};

} // namespace goldcrestwell::soak

#endif
