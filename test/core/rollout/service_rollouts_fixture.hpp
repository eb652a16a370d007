#ifndef GOLDCRESTWELL_TEST_CORE_ROLLOUT_SERVICE_ROLLOUTS_FIXTURE_HPP
#define GOLDCRESTWELL_TEST_CORE_ROLLOUT_SERVICE_ROLLOUTS_FIXTURE_HPP

#include "goldcrestwell/core/common/rendezvous.hpp"
#include "goldcrestwell/core/rollout/service_rollouts.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

namespace goldcrestwell::test::services {

inline const service_name orders{"orders"};
inline const upstream_version baseline_version{"v1"};
inline const upstream_version candidate_version{"v2"};
inline constexpr std::chrono::seconds duration{15};

inline std::vector<node_id> ranked_nodes() {
    std::vector<node_id> nodes;
    for (std::uint32_t address = 1; address <= 5; ++address) {
        nodes.emplace_back(address, std::uint16_t{7000});
    }
    return rendezvous_order(stable_hash(orders.value), nodes);
}

/** @brief One node of five, by its rendezvous rank for the service. */
struct node_fixture {
    explicit node_fixture(const std::size_t rank = 0, const bool knows_baseline_version = true)
        : rollouts{{.self = ranked_nodes()[rank],
                    .nodes = ranked_nodes,
                    .count_upstreams = [](const service_name&, const upstream_version&) { return std::size_t{4}; },
                    .service_of = [](node_id) { return orders; },
                    .broadcast = [this](const rollout_update& update) { broadcasts.push_back(update); },
                    .send_evidence = [](node_id, const evidence_report&) {},
                    .record_status =
                        [this](const rollout_status& status) {
                            statuses.push_back(status);
                        }}} {
        if (knows_baseline_version) {
            rollouts.on_upstream(orders, baseline_version, now);
        }
    }

    bool send_request(const log_offset offset = log_offset{3}, const upstream_version& target = candidate_version) {
        return rollouts.on_request({.service = orders, .target = target, .duration = duration}, offset, now);
    }

    /** @brief Advances the time while both versions serve calls. */
    void run(const std::chrono::milliseconds time, const std::uint32_t failures_in_ten = 0) {
        constexpr std::chrono::milliseconds step{50};
        for (std::chrono::milliseconds passed{}; passed < time; passed += step) {
            now.steady += step;
            now.wall += step;
            report(baseline_version, 10, 0);
            if (share_of(rollouts.shares(orders, now.steady), candidate_version) > share{}) {
                report(candidate_version, 10, failures_in_ten);
            }
            if (rollouts.next_timer() && *rollouts.next_timer() <= now.steady) {
                rollouts.on_timer(now);
            }
        }
    }

    void report(const upstream_version& version, const std::uint32_t calls, const std::uint32_t failures) {
        evidence_window window{.row = {.route = {"r"}, .version = version}, .calls = calls, .failures = failures};
        window.latencies[10] = calls - failures;
        // The candidate's calls are spread over two of its upstreams.
        const auto rank = version == candidate_version ? 3 + (++reports % 2) : 2;
        failures_reported += failures;
        rollouts.on_evidence({.from = ranked_nodes()[rank], .windows = {window}}, now);
    }

    /** @brief Largest and mean share of the candidate over a period. */
    struct share_range {
        share largest;
        share mean;
    };

    share_range measure_shares(const std::chrono::milliseconds time) {
        constexpr std::chrono::milliseconds step{50};
        share largest;
        std::uint64_t sum = 0;
        for (std::chrono::milliseconds passed{}; passed < time; passed += step) {
            run(step);
            largest = std::max(largest, candidate_share());
            sum += candidate_share().value();
        }
        return {.largest = largest, .mean = share{static_cast<std::uint32_t>(sum / (time / step))}};
    }

    [[nodiscard]] share candidate_share() const {
        return share_of(rollouts.shares(orders, now.steady), candidate_version);
    }

    time_sample now{.steady = steady_time{std::chrono::seconds{1'000}},
                    .wall = wall_time{std::chrono::seconds{1'000'000}}};
    std::size_t reports{};
    std::size_t failures_reported{};
    std::vector<rollout_update> broadcasts;
    std::vector<rollout_status> statuses;
    service_rollouts rollouts;
};

} // namespace goldcrestwell::test::services

#endif
