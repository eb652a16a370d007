#ifndef GOLDCRESTWELL_TEST_CORE_ROLLOUT_ENGINE_SIMULATION_HPP
#define GOLDCRESTWELL_TEST_CORE_ROLLOUT_ENGINE_SIMULATION_HPP

#include "goldcrestwell/core/rollout/rollout_engine.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace goldcrestwell::test {

/**
 * Simulates several engines whose messages are dropped, duplicated, reordered and delayed, with paused processes, an
 * unreliable log, edits, and upstreams that fail and return. Two versions of one service serve two routes; the
 * candidate may be faulty.
 */
class engine_simulation {
public:
    explicit engine_simulation(std::uint64_t seed);

    void run_with_faults();
    /** Ends all faults except failing calls and runs until the engines have exchanged their states. */
    void heal();

    [[nodiscard]] bool all_agree() const;
    [[nodiscard]] std::size_t violations() const { return monitor_.violations(); }
    [[nodiscard]] std::size_t rolled_back_with_traffic() const { return rolled_back_with_traffic_; }
    [[nodiscard]] std::size_t shrunk_states() const { return shrunk_states_; }
    [[nodiscard]] std::size_t rolled_back_rollouts() const;
    [[nodiscard]] std::size_t finished_rollouts() const;
    [[nodiscard]] std::size_t rechecked_rollouts() const;

private:
    struct simulated_node {
        std::unique_ptr<rollout_engine> engine;
        upstream_version upstream;
        steady_time paused_until{};
        bool was_paused{};
        std::map<rollout_key, rollout_state> last_states;
    };

    struct delivery {
        std::size_t to{};
        std::function<void(rollout_engine&)> deliver;
    };

    rollout_engine_options options(std::size_t index);
    void send(std::size_t to, const std::function<void(rollout_engine&)>& deliver);
    void append(const rollout_record& record);
    void step();
    void inject_faults();
    void edit_route(const route_name& route);
    void deliver_snapshot(simulated_node& node);
    void run_calls(simulated_node& node);
    void check_states(simulated_node& node);
    bool random_chance(double probability);
    std::size_t random_below(std::size_t limit);

    std::mt19937_64 random_;
    bool network_faulty_{true};
    bool log_down_{};
    time_sample now_{.steady = steady_time{std::chrono::hours{1}}, .wall = wall_time{std::chrono::hours{900}}};
    log_offset log_head_{1};
    std::map<route_name, route_plan> plans_;
    std::map<rollout_key, rollout_state> recorded_;
    std::multimap<steady_time, delivery> messages_;
    std::set<upstream_version> dead_versions_;
    std::map<route_name, double> candidate_failure_rates_;
    /** Failure rate of both versions. */
    double common_failure_rate_{0.01};
    invariant_monitor monitor_;
    std::vector<simulated_node> nodes_;
    std::size_t rolled_back_with_traffic_{};
    std::size_t shrunk_states_{};
};

} // namespace goldcrestwell::test

#endif
