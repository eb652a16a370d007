#ifndef GOLDCRESTWELL_TEST_CORE_ROLLOUT_HISTORY_NETWORK_HPP
#define GOLDCRESTWELL_TEST_CORE_ROLLOUT_HISTORY_NETWORK_HPP

#include "goldcrestwell/core/rollout/rollout_engine.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace goldcrestwell::test {

/**
 * Several engines joined by a queue that drops, duplicates, reorders and delays, with pauses, an unreliable log, edits
 * and upstreams that come and go. Two versions of one service on two routes; the new one may be faulty.
 */
class history_network {
public:
    explicit history_network(std::uint64_t seed);

    void run_with_faults();
    /** Ends all faults and lets the engines exchange their states. */
    void heal();

    [[nodiscard]] bool all_agree() const;
    [[nodiscard]] std::size_t violations() const { return monitor_.violations(); }
    [[nodiscard]] std::size_t taken_back_got_traffic() const { return taken_back_got_traffic_; }
    [[nodiscard]] std::size_t shrunk_states() const { return shrunk_states_; }
    [[nodiscard]] std::size_t taken_back_moves() const;
    [[nodiscard]] std::size_t finished_moves() const;
    [[nodiscard]] std::size_t rechecked_moves() const;

private:
    struct participant {
        std::unique_ptr<rollout_engine> engine;
        upstream_version upstream;
        steady_time paused_until{};
        bool was_paused{};
        std::map<rollout_key, rollout_state> seen;
    };

    struct delivery {
        std::size_t to{};
        std::function<void(rollout_engine&)> deliver;
    };

    rollout_engine_options options(std::size_t index);
    void send(std::size_t to, const std::function<void(rollout_engine&)>& deliver);
    void append(const rollout_record& fact);
    void step();
    void inject_faults();
    void edit(const route_name& route);
    void give_snapshot(participant& one);
    void run_calls(participant& one);
    void observe(participant& one);
    bool chance(double probability);
    std::size_t below(std::size_t limit);

    std::mt19937_64 random_;
    bool faulty_network_{true};
    bool log_down_{};
    time_sample now_{.steady = steady_time{std::chrono::hours{1}}, .wall = wall_time{std::chrono::hours{900}}};
    log_offset head_{1};
    std::map<route_name, route_plan> plans_;
    std::map<rollout_key, rollout_state> recorded_;
    std::multimap<steady_time, delivery> queue_;
    std::set<upstream_version> gone_;
    std::map<route_name, double> failure_rate_;
    /** Failures of both versions alike. */
    double common_failures_{0.01};
    invariant_monitor monitor_;
    std::vector<participant> participants_;
    std::size_t taken_back_got_traffic_{};
    std::size_t shrunk_states_{};
};

} // namespace goldcrestwell::test

#endif
