#ifndef GOLDCRESTWELL_TEST_CORE_CALL_CALL_NETWORK_HPP
#define GOLDCRESTWELL_TEST_CORE_CALL_CALL_NETWORK_HPP

#include "goldcrestwell/core/call/attempt_ledger.hpp"
#include "goldcrestwell/core/call/call_dispatcher.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace goldcrestwell::test {

/** @brief Counts of the faults found in one history; all zero in a correct run. */
struct history_faults {
    std::size_t ran_twice{};
    std::size_t false_not_run{};
    std::size_t results_missing{};
    std::size_t results_repeated{};
    std::size_t wrong_responses{};
    std::size_t cut_by_drain{};
    std::size_t violations{};

    [[nodiscard]] std::size_t total() const {
        return ran_twice + false_not_run + results_missing + results_repeated + wrong_responses + cut_by_drain +
               violations;
    }
};

/** @brief Counts of the events in a history, so that a history that exercises nothing does not pass unnoticed. */
struct history_coverage {
    std::size_t calls{};
    std::size_t answered{};
    std::size_t not_run{};
    std::size_t unknown{};
    std::size_t retries{};
    std::size_t late_replies{};
    std::size_t never_seen{};
    std::size_t restarts{};
};

/** @brief Nodes with a dispatcher, a ledger and a fake upstream each, connected by a faulty network in virtual time. */
class call_network {
public:
    explicit call_network(std::uint64_t seed);

    void run();
    [[nodiscard]] history_faults faults() const;
    [[nodiscard]] history_coverage coverage() const;

private:
    static constexpr std::size_t node_count = 4;

    struct call_record {
        bool repeatable{};
        bool cancelled{};
        bool caller_lost{};
        std::size_t runs{};
        std::size_t results{};
        bool reported_not_run{};
        bool wrong_response{};
    };
    struct upstream_run {
        std::string request;
        bool aborted{};
    };
    struct node {
        node_id id;
        incarnation start_incarnation;
        counters counts;
        std::unique_ptr<call_dispatcher> dispatcher;
        std::unique_ptr<attempt_ledger> ledger;
        std::map<attempt_id, upstream_run> running;
        std::map<std::uint64_t, std::size_t> callers;
        /** @brief Start incarnations of the other nodes as this node knows them. */
        std::array<incarnation, node_count> known_incarnations;
        steady_time paused_until{};
        bool draining{};
    };

    void start_node(std::size_t index);
    [[nodiscard]] call_dispatcher_options dispatcher_options(std::size_t index);
    [[nodiscard]] attempt_ledger_options ledger_options(std::size_t index);
    void restart(std::size_t index);
    void drain(std::size_t index);
    void start_call(std::size_t index);
    void on_result(std::size_t index, call_id call, const call_result& result);
    void start_upstream(std::size_t index, const attempt_id& id, const call_request& call);
    void end_upstream(std::size_t index, const attempt_id& id, const upstream_result& result);
    void transmit(std::size_t from, node_id to, const peer_message& message);
    void deliver(std::size_t from, std::size_t to, const peer_message& message);
    void lose_connection(std::size_t first, std::size_t second);
    void inject_fault();
    void schedule_after(std::chrono::microseconds delay, std::function<void()> action);
    /** @brief Schedules an action at a node; a restart drops the action, a pause delays it. */
    void at_node(std::size_t index, std::chrono::microseconds delay, std::function<void(node&)> action);
    void schedule_timers(std::size_t index);
    void fire_timers(std::size_t index);
    [[nodiscard]] bool chance(unsigned percent);
    [[nodiscard]] std::size_t pick(std::size_t count);
    [[nodiscard]] std::chrono::microseconds delay();
    [[nodiscard]] time_sample now() const { return {.steady = now_, .wall = {}}; }

    std::mt19937_64 random_;
    steady_time now_{std::chrono::seconds{1'000}};
    std::multimap<steady_time, std::function<void()>> events_;
    std::array<node, node_count> nodes_;
    std::map<upstream_version, std::vector<upstream_candidate>> candidates_;
    std::vector<call_record> calls_;
    std::set<std::pair<std::size_t, std::size_t>> silent_links_;
    invariant_monitor invariants_;
    history_coverage coverage_;
    bool faults_on_{true};
};

} // namespace goldcrestwell::test

#endif
