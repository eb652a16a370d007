#include "system/call_checks.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>

using namespace goldcrestwell;
using namespace goldcrestwell::test;

namespace {

constexpr std::uint16_t outage_ports = 24'800;
constexpr std::uint16_t lost_answer_ports = 24'900;
constexpr std::uint16_t race_ports = 25'000;
constexpr int exit_refused = 4;
constexpr int exit_unknown = 6;

/** @brief Returns the edit id in an output: the first sequence of 32 hexadecimal digits. */
std::string edit_id_in(const std::string& text) {
    constexpr std::size_t digits = 32;
    std::size_t length{};
    for (std::size_t index = 0; index < text.size(); ++index) {
        length = std::isxdigit(static_cast<unsigned char>(text[index])) != 0 ? length + 1 : 0;
        if (length == digits) {
            return text.substr(index + 1 - digits, digits);
        }
    }
    return {};
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

/** @brief Applies rows while the log does not respond, and returns the id of the edit. */
std::string apply_with_unknown_result(test_cluster& cluster, const std::size_t node, const std::string& rows) {
    const auto edited = cluster.apply(node, rows);
    BOOST_TEST_INFO(edited.output);
    BOOST_TEST(edited.code.value_or(-1) == exit_unknown);
    auto id = edit_id_in(edited.output);
    BOOST_TEST(!id.empty());
    return id;
}

/** @brief Runs the edits of two operators at the same time through nodes 0 and 2. */
std::array<command_result, 2> apply_concurrently(test_cluster& cluster, const std::array<std::string, 2>& rows,
                                                 const bool with_row_versions) {
    const std::array<std::size_t, 2> node_indices{0, 2};
    std::array<std::filesystem::path, 2> outputs;
    std::array<std::unique_ptr<child_process>, 2> commands;
    std::array<command_result, 2> results;
    for (std::size_t index = 0; index < rows.size(); ++index) {
        outputs[index] = cluster.new_file(".txt");
        const auto file = cluster.write_table(rows[index], with_row_versions).string();
        commands[index] = cluster.start_command(
            {"table", "apply", file, "--node", cluster.node_address(node_indices[index])}, outputs[index]);
    }
    for (std::size_t index = 0; index < rows.size(); ++index) {
        results[index] = cluster.finish_command(*commands[index], outputs[index]);
    }
    return results;
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_log)

// Guards against nodes that need the log to serve calls, to roll a version back or to restart, and against an edit that
// is reported as failed although it takes effect.
BOOST_AUTO_TEST_CASE(outage_stops_neither_calls_nor_rollback) {
    test_cluster cluster{{.first_port = outage_ports,
                          .members = {{}, {}, {.data_centre = "north-2", .version = "v2"}},
                          .log_long_poll = std::chrono::milliseconds{2'000},
                          .log_request_timeout = std::chrono::milliseconds{2'000}}};
    BOOST_REQUIRE(cluster.wait_until_ready());
    BOOST_REQUIRE(apply_everywhere(cluster, "/orders,orders,v1,100,,0,0,0,2000,false,proceed\n"));
    BOOST_REQUIRE(cluster.set_upstream_faults(2, "fail_percent=100"));
    BOOST_REQUIRE(apply_everywhere(cluster, "/orders,orders,v1,0,,0,0,0,2000,false,proceed\n"
                                            "/orders,orders,v2,100,,0,0,0,2000,false,proceed\n"));
    const auto version = cluster.config_version(0);
    // The log stores the first edit but delays every response, also to reads, beyond the request timeout.
    BOOST_REQUIRE(cluster.set_log_faults("delay_ms=600000"));
    call_load load{cluster.loop(), {.ports = cluster.caller_ports({0, 1})}};
    const auto stored_id = apply_with_unknown_result(cluster, 0, "/orders,orders,v1,70,,0,0,0,2000,false,proceed\n");
    const auto rolled_back = [&cluster](const std::size_t node) {
        return contains(cluster.table(node), ",taken_back,");
    };
    BOOST_TEST(cluster.loop().wait_until([&] { return rolled_back(0) && rolled_back(1) && rolled_back(2); }));

    BOOST_REQUIRE(cluster.set_log_faults("outage=close"));
    cluster.node(2).send_signal(SIGKILL);
    BOOST_TEST(cluster.loop().wait_until([&] { return cluster.node(2).exit_status().has_value(); }));
    cluster.start_node(2);
    BOOST_TEST(cluster.loop().wait_until([&] { return cluster.ready(2); }));
    for (std::size_t node = 0; node < cluster.size(); ++node) {
        BOOST_TEST(cluster.config_version(node) == version);
    }
    // Until the restarted node receives the verdict from a peer, it gives the candidate its base share, which is zero.
    const auto candidate_calls = cluster.started_calls(2);
    BOOST_TEST(cluster.loop().wait_until([&] { return rolled_back(2); }));
    check_all_answered(cluster, {0, 1, 2});
    BOOST_TEST(cluster.started_calls(2) == candidate_calls);
    const auto refused_id = apply_with_unknown_result(cluster, 1, "/proofs,orders,v1,10,,0,0,0,2000,false,proceed\n");
    BOOST_TEST(load.finish());
    check_calls(cluster, load);
    check_all_answered(cluster, {0, 1, 2});

    BOOST_REQUIRE(cluster.set_log_faults("outage=none&delay_ms=0"));
    BOOST_TEST(cluster.loop().wait_until([&] { return cluster.in_force(version + 1, {0, 1, 2}); }));
    const auto stored = cluster.command({"table", "result", stored_id, "--node", cluster.node_address(1)});
    BOOST_TEST_INFO(stored.output);
    BOOST_TEST(stored.code.value_or(-1) == 0);
    BOOST_TEST(cluster.in_force(offset_of(stored), {0, 1, 2}));
    BOOST_TEST(contains(cluster.table(2), "/orders,orders,v1,70,"));
    const auto refused = cluster.command({"table", "result", refused_id, "--node", cluster.node_address(1)});
    BOOST_TEST(refused.code.value_or(-1) == exit_unknown);
    BOOST_TEST(!contains(cluster.table(2), "/proofs"));
    check_all_answered(cluster, {0, 1, 2});
    BOOST_TEST(cluster.violations() == 0U);
}

// Guards against an edit that is applied twice, reported as failed or lost because the response to its append is lost.
BOOST_AUTO_TEST_CASE(edit_with_lost_append_answers_takes_effect_once) {
    test_cluster cluster{{.first_port = lost_answer_ports}};
    BOOST_REQUIRE(cluster.wait_until_ready());
    BOOST_REQUIRE(apply_everywhere(cluster, "/orders,orders,v1,100,,0,0,0,2000,false,proceed\n"));
    BOOST_REQUIRE(cluster.set_log_faults("lose_answers=2"));
    const auto edited = cluster.apply(0, "/orders,orders,v1,60,,0,0,0,2000,false,proceed\n");
    BOOST_TEST_INFO(edited.output);
    BOOST_TEST(edited.code.value_or(-1) == 0);
    BOOST_TEST(contains(edited.output, "accepted"));
    const auto offset = offset_of(edited);
    BOOST_TEST(cluster.loop().wait_until([&] { return cluster.in_force(offset, {0, 1, 2}); }));
    // Longer than the retry interval of appends, so that a second append of the edit would be visible.
    cluster.loop().run_for(std::chrono::seconds{3});
    for (std::size_t node = 0; node < cluster.size(); ++node) {
        BOOST_TEST(cluster.config_version(node) == offset);
    }
    BOOST_TEST(contains(cluster.table(2), "/orders,orders,v1,60,"));
    check_all_answered(cluster, {0, 1, 2});
    BOOST_TEST(cluster.violations() == 0U);
}

// Guards against an edit that overwrites a row changed after the operator read it, and against refused edits of rows
// that no other operator changed.
BOOST_AUTO_TEST_CASE(racing_operators_change_a_row_once) {
    test_cluster cluster{{.first_port = race_ports}};
    BOOST_REQUIRE(cluster.wait_until_ready());
    BOOST_REQUIRE(apply_everywhere(cluster, "/orders,orders,v1,100,,0,0,0,2000,false,proceed\n"
                                            "/proofs,orders,v1,100,,0,0,0,2000,false,proceed\n"));
    const auto row_version = std::to_string(cluster.config_version(0));
    const std::string start{"/orders,orders,v1,"};
    const std::string end{",,0,0,0,2000,false,proceed," + row_version + '\n'};
    const auto same = apply_concurrently(cluster, {start + "10" + end, start + "20" + end}, true);
    const std::size_t winner = same[0].code == 0 ? 0 : 1;
    const auto& loser = same[1 - winner];
    BOOST_TEST_INFO(same[0].output << same[1].output);
    BOOST_TEST(same[winner].code.value_or(-1) == 0);
    BOOST_TEST_INFO(same[0].output << same[1].output);
    BOOST_TEST(loser.code.value_or(-1) == exit_refused);
    BOOST_TEST(contains(loser.output, "stale_row"));
    const auto weight = winner == 0 ? "10" : "20";
    BOOST_TEST(cluster.loop().wait_until([&] { return cluster.in_force(offset_of(same[winner]), {0, 1, 2}); }));
    BOOST_TEST(contains(cluster.table(1), start + weight + ','));

    const auto different = apply_concurrently(
        cluster,
        {"/orders,orders,v1,30,,0,0,0,2000,false,proceed\n", "/proofs,orders,v1,40,,0,0,0,2000,false,proceed\n"},
        false);
    for (const auto& result : different) {
        BOOST_TEST_INFO(result.output);
        BOOST_TEST(result.code.value_or(-1) == 0);
    }
    const auto last = std::max(offset_of(different[0]), offset_of(different[1]));
    BOOST_TEST(cluster.loop().wait_until([&] { return cluster.in_force(last, {0, 1, 2}); }));
    BOOST_TEST(contains(cluster.table(2), "/orders,orders,v1,30,"));
    BOOST_TEST(contains(cluster.table(2), "/proofs,orders,v1,40,"));
    BOOST_TEST(cluster.violations() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
