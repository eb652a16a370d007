#ifndef GOLDCRESTWELL_TEST_CORE_NODE_SIMULATED_CLUSTER_HPP
#define GOLDCRESTWELL_TEST_CORE_NODE_SIMULATED_CLUSTER_HPP

#include "core/node/fake_network.hpp"
#include "core/node/fake_platform.hpp"
#include "core/node/fake_upstream.hpp"
#include "core/node/history_checks.hpp"
#include "goldcrestwell/core/node/node.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestwell::test {

/** @brief Route of the table with its service. */
struct test_route {
    route_name name;
    service_name service;
};
[[nodiscard]] const std::vector<test_route>& test_routes();

/** @brief Complete nodes in simulated time, connected to fakes of all external systems, with checks at every hook. */
class simulated_cluster {
public:
    using size_type = std::size_t;

    explicit simulated_cluster(std::uint64_t seed);

    // Time.
    void run_for(const std::chrono::microseconds duration) { time_.run_for(duration); }
    [[nodiscard]] virtual_time& time() noexcept { return time_; }

    // Faults of hosts.
    void start(size_type index);
    /** @brief Ends the process without notice; its upstream keeps running. */
    void kill(size_type index);
    /** @brief Suspends the process; it later continues with all messages that arrived in the meantime. */
    void pause(size_type index, std::chrono::milliseconds duration);
    void drain(size_type index);
    void withdraw_upstream(size_type index);
    void kill_upstream(size_type index);
    void start_upstream(size_type index);
    void set_partitioned(bool partitioned);

    // Calls and edits.
    void call(size_type index);
    void edit(size_type index);
    void count_fault() { ++coverage_.faults; }
    void set_fault(const service_name& service, const version_fault& fault) { faults_[service] = fault; }

    [[nodiscard]] size_type size() const noexcept { return hosts_.size(); }
    [[nodiscard]] bool running(const size_type index) const { return hosts_[index].process != nullptr; }
    [[nodiscard]] bool paused(const size_type index) const { return time_.now() < hosts_[index].paused_until; }
    [[nodiscard]] bool draining(const size_type index) const { return hosts_[index].draining; }
    [[nodiscard]] fake_platform& platform() noexcept { return platform_; }
    [[nodiscard]] fake_network& network() noexcept { return network_; }
    [[nodiscard]] std::mt19937_64& random() noexcept { return random_; }
    [[nodiscard]] size_type random_below(size_type count) { return random_() % count; }

    /** @brief Checks the complete history after recovery and a period without faults. */
    void check_end();
    [[nodiscard]] const history_checks& checks() const noexcept { return checks_; }
    [[nodiscard]] const history_coverage& coverage() const noexcept { return coverage_; }

private:
    struct share_usage {
        double allowed{};
        double used{};
    };
    using share_usage_map = std::map<rollout_key, share_usage>;
    struct host {
        node_id id;
        data_centre site;
        goldcrestwell::region region;
        incarnation start_incarnation;
        std::unique_ptr<node> process;
        std::unique_ptr<fake_upstream> upstream;
        std::optional<steady_time> wake_time;
        steady_time started{};
        steady_time paused_until{};
        /** @brief End of the last fault that delayed messages to or from the node. */
        steady_time disturbed_until{};
        /** @brief Time from which the upstream accepts no new work. */
        std::optional<steady_time> closed_since;
        bool withdrawn{};
        bool draining{};
        log_offset version;
        share_usage_map shares;
    };
    struct call_record {
        size_type host{};
        incarnation start_incarnation;
        bool repeatable{};
        bool cancelled{};
        bool caller_lost{};
        bool refused_as_not_run{};
        size_type runs{};
        size_type results{};
    };
    struct edit_record {
        size_type host{};
        incarnation start_incarnation;
        edit_id id;
        size_type decisions{};
    };

    // Wiring.
    [[nodiscard]] node_hooks hooks_for(size_type index);
    [[nodiscard]] node_options options_for(size_type index);
    [[nodiscard]] network_hooks make_network_hooks();
    /** @brief Runs an action on the current process of a host, after the end of a pause. */
    void schedule_at(size_type index, std::chrono::microseconds delay, std::function<void(node&)> action);
    void run_at(size_type index, incarnation start_incarnation, const std::function<void(node&)>& action);
    void schedule_wake_up(size_type index, steady_time when);
    void announce(size_type index);
    void watch_drain(size_type index);
    void end_process(size_type index);
    void run_request(size_type index, const attempt_id& id, const call_request& call,
                     std::chrono::milliseconds timeout);

    // Checks.
    void on_event(size_type index, const node_event& event);
    void on_result(size_type number, const call_result& result);
    void check_version(size_type index);
    void check_table(size_type index);
    void check_attempt(size_type from, size_type to, const route_name& route, const upstream_version& version);
    void check_in_force(size_type deciding_node, log_offset accepted, steady_time since);
    void check_agreement();
    void check_calls();
    void check_rollouts();
    [[nodiscard]] bool undisturbed(size_type index, steady_time since) const;
    [[nodiscard]] std::string node_label(size_type index) const;
    /** @return Route that serves a path of `test_routes` according to the table of a node. */
    [[nodiscard]] route_name route_at(size_type index, const std::string& target) const;
    [[nodiscard]] table_edit random_edit(size_type index);

    virtual_time time_;
    std::mt19937_64 random_;
    fake_platform platform_;
    fake_network network_;
    std::vector<host> hosts_;
    std::map<node_id, size_type> indices_;
    std::map<service_name, version_fault> faults_;
    std::vector<call_record> calls_;
    std::vector<edit_record> edits_;
    std::map<log_offset, steady_time> accepted_;
    history_checks checks_;
    history_coverage coverage_;
};

} // namespace goldcrestwell::test

#endif
