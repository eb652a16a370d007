#ifndef GOLDCRESTWELL_SOAK_SOAK_UPSTREAM_HPP
#define GOLDCRESTWELL_SOAK_SOAK_UPSTREAM_HPP

#include "goldcrestwell/shell/endpoint.hpp"
#include "goldcrestwell/shell/http_connection.hpp"
#include "goldcrestwell/shell/http_server.hpp"
#include "goldcrestwell/shell/timer.hpp"
#include "soak/delayed_tasks.hpp"
#include "soak/run_record.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace goldcrestwell::soak {

/** @brief Options of a `soak_upstream`. */
struct soak_upstream_options {
    std::string service;
    std::string data_centre;
    std::uint16_t port{};
    /** @brief Port of the relay through which nodes reach the upstream. */
    std::uint16_t announced_port{};
    /** @brief Port of the announcement listener of the local node. */
    std::uint16_t node_port{};
    std::uint64_t seed{};
    std::chrono::milliseconds announcement_interval{300};
    std::chrono::milliseconds drain{1'500};
    run_record* record{};
};

/** @brief Faults that an upstream simulates; each probability applies to every request. */
struct upstream_faults {
    double lost_response_probability{};
    double rejection_probability{};
    double failure_probability{};
    std::chrono::milliseconds added_delay{};
};

/** @brief Fake upstream that announces itself, runs each request for a few milliseconds and records every run. */
class soak_upstream {
public:
    soak_upstream(event_loop& loop, soak_upstream_options options);

    void set_faults(const upstream_faults& faults) noexcept { faults_ = faults; }
    /** @brief Announces that the upstream drains, and starts it under another id after twice the drain time. */
    void replace();

private:
    void send_announcement();
    void handle_request(const std::shared_ptr<http_exchange>& exchange);
    void send_response(const std::shared_ptr<http_exchange>& exchange, const std::string& id);
    [[nodiscard]] bool occurs(double probability);

    event_loop& loop_;
    soak_upstream_options options_;
    std::mt19937_64 random_;
    upstream_faults faults_;
    std::uint64_t instance_number_{1};
    std::uint64_t sequence_{};
    bool draining_{};
    /** @brief Time at which the node acknowledged that the upstream is draining. */
    std::optional<steady_time> drain_acknowledged_at_;
    std::unique_ptr<http_connection> connection_;
    delayed_tasks delayed_tasks_;
    timer announcement_timer_;
    http_server server_;
};

} // namespace goldcrestwell::soak

#endif
