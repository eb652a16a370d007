#ifndef GOLDCRESTWELL_SOAK_FAULT_INJECTOR_HPP
#define GOLDCRESTWELL_SOAK_FAULT_INJECTOR_HPP

#include "soak/soak_cluster.hpp"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace goldcrestwell::soak {

/** @brief Injects faults and planned work from outside the processes; both come in series and overlap. */
class fault_injector {
public:
    /** @param planned_only Only restarts, reloads, replaced upstreams and changes of the configuration. */
    fault_injector(soak_cluster& cluster, std::uint64_t seed, bool planned_only);

    /** @brief Begins the next fault, which ends by itself. */
    void next();
    /** @brief Ends what is still in force. */
    void heal();
    /** @return The faults so far, in their order. */
    [[nodiscard]] const std::vector<std::string>& log() const noexcept { return log_; }

private:
    using host = soak_cluster::host;

    void planned();
    void fault_of_process(host& where);
    void fault_of_path(host& where);
    void fault_of_store();
    void fault_of_upstream(host& where);
    void hold(test::tcp_relay& relay, const std::string& name);
    void note(const std::string& what, const host* where = nullptr);
    [[nodiscard]] host& any_host();
    [[nodiscard]] int draw(int last);
    [[nodiscard]] std::chrono::milliseconds time(int first, int last);

    soak_cluster& cluster_;
    std::mt19937_64 random_;
    bool planned_only_;
    std::vector<std::string> log_;
};

} // namespace goldcrestwell::soak

#endif
