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

/** @brief Ports and record of a `soak_upstream`. */
struct soak_upstream_options {
    std::string service;
    std::uint16_t port{};
    /** @brief Port that callers of the upstream use, a relay's. */
    std::uint16_t announced_port{};
    /** @brief Announcement listener of the node beside it. */
    std::uint16_t node_port{};
    std::uint64_t seed{};
    std::chrono::milliseconds heartbeat{300};
    std::chrono::milliseconds drain{1'500};
    run_record* record{};
};

/** @brief Faults of an upstream; the parts are of all requests. */
struct upstream_trouble {
    double lose_answer{};
    double reject{};
    double fail{};
    std::chrono::milliseconds slow{};
};

/** @brief An upstream that announces itself, runs requests for some milliseconds and records each run. */
class soak_upstream {
public:
    soak_upstream(event_loop& loop, soak_upstream_options options);

    void set_trouble(const upstream_trouble& trouble) noexcept { trouble_ = trouble; }
    /** @brief Says that it leaves, and starts again under another id when its drain has passed. */
    void replace();

private:
    void beat();
    void serve(const std::shared_ptr<http_exchange>& exchange);
    void answer(const std::shared_ptr<http_exchange>& exchange, const std::string& id);
    [[nodiscard]] bool happens(double part);

    event_loop& loop_;
    soak_upstream_options options_;
    std::mt19937_64 random_;
    upstream_trouble trouble_;
    std::uint64_t start_{1};
    std::uint64_t sequence_{};
    bool leaving_{};
    /** @brief When the node acknowledged that the upstream leaves. */
    std::optional<steady_time> acknowledged_;
    std::unique_ptr<http_connection> connection_;
    delayed_tasks delayed_tasks_;
    timer next_beat_;
    http_server server_;
};

} // namespace goldcrestwell::soak

#endif
