#include "system/call_checks.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>

using namespace goldcrestwell;
using namespace goldcrestwell::test;

namespace {

constexpr const char* one_version_table = "/orders,orders,v1,100,,0,0,0,2000,false,proceed\n";
constexpr std::chrono::seconds convergence_target{6};
constexpr std::chrono::seconds withdrawal_target{3};
constexpr int killed_status = 128 + SIGKILL;
constexpr std::uint16_t kill_ports = 24'200;
constexpr std::uint16_t pause_ports = 24'300;
constexpr std::uint16_t restart_ports = 24'400;
constexpr std::uint16_t drain_ports = 24'500;
constexpr std::uint16_t withdraw_ports = 24'600;

bool wait_for_exit(test_cluster& cluster, child_process& process) {
    return cluster.loop().wait_until([&process] { return process.exit_status().has_value(); });
}

/** @brief Returns the longest time in which no caller received a response. */
std::chrono::milliseconds max_response_gap(const call_load& load) {
    auto last_response = load.records().front().started;
    std::chrono::milliseconds longest{};
    // Records are in the order in which the calls ended.
    for (const auto& record : load.records()) {
        if (record.ending() == call_ending::answered) {
            const auto end = record.started + record.duration;
            longest = std::max(longest, std::chrono::duration_cast<std::chrono::milliseconds>(end - last_response));
            last_response = end;
        }
    }
    return longest;
}

bool lists_as_alive(test_cluster& cluster, const std::size_t observer, const std::size_t node) {
    const auto name = "127.0.0.1:" + std::to_string(cluster.peer_port(node));
    const auto node_status = cluster.status(observer);
    return node_status.is_object() &&
           std::any_of(node_status["members"].begin(), node_status["members"].end(),
                       [&](const auto& entry) { return entry["node"] == name && entry["status"] == "alive"; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(node_failures)

// Guards against failed calls at healthy nodes after another node is killed, and against a restart of that node with a
// stale table.
BOOST_AUTO_TEST_CASE(killed_node_restarts_with_the_newest_table) {
    test_cluster cluster{{.first_port = kill_ports}};
    BOOST_REQUIRE(cluster.wait_until_ready());
    BOOST_REQUIRE(apply_everywhere(cluster, one_version_table));
    call_load load{cluster.loop(), {.ports = cluster.caller_ports({0, 2})}};
    cluster.loop().run_for(std::chrono::seconds{1});
    cluster.node(1).send_signal(SIGKILL);
    const auto killed = cluster.loop().loop().now().steady;
    BOOST_TEST(wait_for_exit(cluster, cluster.node(1)));
    BOOST_TEST(cluster.node(1).exit_status().value_or(0) == killed_status);
    BOOST_TEST(
        cluster.loop().wait_until([&] { return !lists_as_alive(cluster, 0, 1) && !lists_as_alive(cluster, 2, 1); }));
    BOOST_TEST(load.count(call_ending::answered, killed) > 0U);
    BOOST_TEST((max_response_gap(load) < convergence_target));

    const auto edited = cluster.apply(0, "/orders,orders,v1,50,,0,0,0,2000,false,proceed\n");
    BOOST_TEST(edited.code.value_or(-1) == 0);
    check_all_answered(cluster, {0, 2});
    cluster.start_node(1);
    BOOST_TEST(cluster.loop().wait_until([&] { return cluster.ready(1); }));
    BOOST_TEST(cluster.config_version(1) >= offset_of(edited));
    BOOST_TEST(cluster.wait_until_ready());
    BOOST_TEST(load.finish());
    check_calls(cluster, load);
    BOOST_TEST(load.count(call_ending::cut) == 0U);
    BOOST_TEST(load.count(call_ending::unreachable) == 0U);
    check_all_answered(cluster, {0, 1, 2});
    BOOST_TEST(cluster.violations() == 0U);
}

// Guards against a second run of a request when a paused node resumes and continues with requests that have already
// timed out at other nodes.
BOOST_AUTO_TEST_CASE(paused_node_runs_nothing_twice) {
    constexpr std::chrono::seconds pause{6};
    test_cluster cluster{{.first_port = pause_ports}};
    BOOST_REQUIRE(cluster.wait_until_ready());
    BOOST_REQUIRE(apply_everywhere(cluster, one_version_table));
    call_load load{cluster.loop(), {.ports = cluster.caller_ports({0, 1, 2})}};
    cluster.loop().run_for(std::chrono::seconds{1});
    cluster.node(1).send_signal(SIGSTOP);
    cluster.loop().run_for(pause);
    cluster.node(1).send_signal(SIGCONT);
    const auto resumed = cluster.loop().loop().now().steady;
    BOOST_TEST(
        cluster.loop().wait_until([&] { return lists_as_alive(cluster, 0, 1) && lists_as_alive(cluster, 2, 1); }));
    cluster.loop().run_for(std::chrono::seconds{2});
    BOOST_TEST(load.finish());
    BOOST_TEST(load.count(call_ending::answered, resumed) > 0U);
    check_calls(cluster, load);
    check_all_answered(cluster, {0, 1, 2});
    BOOST_TEST(cluster.violations() == 0U);
}

// Guards against nodes that wait for each other when all start at the same time, and against a lost table.
BOOST_AUTO_TEST_CASE(all_nodes_restarted_at_once_serve_again) {
    test_cluster cluster{{.first_port = restart_ports}};
    BOOST_REQUIRE(cluster.wait_until_ready());
    BOOST_REQUIRE(apply_everywhere(cluster, one_version_table));
    const auto table = cluster.table(0);
    const auto version = cluster.config_version(0);
    call_load load{cluster.loop(), {.ports = cluster.caller_ports({0, 1, 2})}};
    cluster.loop().run_for(std::chrono::seconds{1});
    for (std::size_t index = 0; index < cluster.size(); ++index) {
        cluster.node(index).send_signal(SIGKILL);
    }
    for (std::size_t index = 0; index < cluster.size(); ++index) {
        BOOST_TEST(wait_for_exit(cluster, cluster.node(index)));
        cluster.start_node(index);
    }
    BOOST_TEST(cluster.wait_until_ready());
    BOOST_TEST(cluster.config_version(1) == version);
    BOOST_TEST(cluster.table(2) == table);
    BOOST_TEST(load.finish());
    check_calls(cluster, load);
    check_all_answered(cluster, {0, 1, 2});
    BOOST_TEST(cluster.violations() == 0U);
}

// Guards against a graceful shutdown that cuts calls from the node's own callers or from other nodes.
BOOST_AUTO_TEST_CASE(terminated_node_cuts_no_call) {
    test_cluster cluster{{.first_port = drain_ports, .work = std::chrono::milliseconds{150}}};
    BOOST_REQUIRE(cluster.wait_until_ready());
    BOOST_REQUIRE(apply_everywhere(cluster, one_version_table));
    call_load load{cluster.loop(), {.ports = cluster.caller_ports({0, 1, 2})}};
    cluster.loop().run_for(std::chrono::seconds{1});
    cluster.node(1).send_signal(SIGTERM);
    BOOST_TEST(wait_for_exit(cluster, cluster.node(1)));
    BOOST_TEST(cluster.node(1).exit_status().value_or(-1) == 0);
    cluster.loop().run_for(std::chrono::seconds{1});
    BOOST_TEST(load.finish());
    for (const auto& record : load.records()) {
        const auto refused_by_draining_node = record.ending() == call_ending::not_run && record.reason() == "draining";
        BOOST_CHECK_MESSAGE(record.ending() == call_ending::answered || refused_by_draining_node, record);
    }
    check_calls(cluster, load);
    check_all_answered(cluster, {0, 2});
    BOOST_TEST(cluster.violations() == 0U);
}

// Guards against new calls to an upstream that has withdrawn, and against cutting the calls that it is still running.
BOOST_AUTO_TEST_CASE(withdrawn_upstream_gets_no_new_work) {
    test_cluster cluster{{.first_port = withdraw_ports}};
    BOOST_REQUIRE(cluster.wait_until_ready());
    BOOST_REQUIRE(apply_everywhere(cluster, "/orders,orders,v1,100,,0,0,0,20000,false,proceed\n"));
    // Slow calls keep the upstream process running beyond the target time, so that late calls would be counted.
    BOOST_REQUIRE(cluster.set_upstream_faults(1, "slow_ms=6000"));
    call_load load{cluster.loop(), {.ports = cluster.caller_ports({0, 1, 2})}};
    BOOST_TEST(cluster.loop().wait_until([&] { return cluster.started_calls(1) > 0; }));
    cluster.upstream(1).send_signal(SIGTERM);
    cluster.loop().run_for(withdrawal_target);
    const auto started = cluster.started_calls(1);
    BOOST_TEST(started > 0U);
    cluster.loop().run_for(std::chrono::milliseconds{1'500});
    BOOST_TEST(cluster.started_calls(1) == started);
    static_cast<void>(cluster.runs());
    BOOST_TEST(load.finish());
    BOOST_TEST(load.count(call_ending::answered) == load.records().size());
    BOOST_TEST(wait_for_exit(cluster, cluster.upstream(1)));
    BOOST_TEST(cluster.upstream(1).exit_status().value_or(-1) == 0);
    check_calls(cluster, load);
    BOOST_TEST(cluster.violations() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
