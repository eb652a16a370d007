#include "system/call_checks.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace goldcrestwell;
using namespace goldcrestwell::test;

namespace {

constexpr std::chrono::seconds convergence_target{6};
constexpr std::uint16_t path_ports = 24'000;
constexpr std::uint16_t candidate_ports = 24'100;

} // namespace

BOOST_AUTO_TEST_SUITE(whole_path)

// Guards against an edit that does not reach a node within the target time, and against responses to other calls.
BOOST_AUTO_TEST_CASE(edit_is_in_force_in_two_data_centres_and_calls_are_answered) {
    test_cluster cluster{{.first_port = path_ports}};
    BOOST_REQUIRE(cluster.wait_until_ready());
    const auto result = cluster.apply(0, "/orders,orders,v1,100,,0,0,0,2000,false,proceed\n");
    const auto accepted = cluster.loop().loop().now().steady;
    BOOST_TEST_INFO(result.output);
    BOOST_REQUIRE(result.code == 0);
    BOOST_REQUIRE(cluster.loop().wait_until([&] { return cluster.in_force(offset_of(result), {0, 1, 2}); }));
    BOOST_TEST((cluster.loop().loop().now().steady - accepted <= convergence_target));
    BOOST_TEST(cluster.table(0) == cluster.table(2));

    call_load load{cluster.loop(), {.ports = cluster.caller_ports({0, 1, 2})}};
    cluster.loop().run_for(std::chrono::seconds{2});
    BOOST_TEST(load.finish());
    BOOST_TEST(load.count(call_ending::answered) == load.records().size());
    BOOST_TEST(load.count(call_ending::answered) > 0U);
    check_calls(cluster, load);
    BOOST_TEST(cluster.violations() == 0U);
}

// Guards against a failing candidate that keeps its traffic, and against a table without the reason for the rollback.
BOOST_AUTO_TEST_CASE(candidate_that_fails_all_calls_is_rolled_back) {
    test_cluster cluster{
        {.first_port = candidate_ports, .members = {{}, {}, {.data_centre = "north-2", .version = "v2"}}}};
    BOOST_REQUIRE(cluster.wait_until_ready());
    BOOST_REQUIRE(apply_everywhere(cluster, "/orders,orders,v1,100,,0,0,0,2000,false,proceed\n"));
    BOOST_REQUIRE(cluster.set_upstream_faults(2, "fail_percent=100"));
    BOOST_REQUIRE(apply_everywhere(cluster, "/orders,orders,v1,0,,0,0,0,2000,false,proceed\n"
                                            "/orders,orders,v2,100,,0,0,0,2000,false,proceed\n"));
    call_load load{cluster.loop(), {.ports = cluster.caller_ports({0, 1, 2})}};
    const auto rolled_back = [&cluster](const std::size_t node) {
        return cluster.table(node).find(",taken_back,") != std::string::npos;
    };
    BOOST_TEST(cluster.loop().wait_until([&] { return rolled_back(0) && rolled_back(1) && rolled_back(2); }));
    BOOST_TEST(load.finish());
    check_calls(cluster, load);

    const auto exported = cluster.command({"table", "export", "--node", cluster.node_address(1)});
    BOOST_TEST_INFO(exported.output);
    BOOST_TEST((exported.output.find(",taken_back,0,failures") != std::string::npos ||
                exported.output.find(",taken_back,0,failing_in_a_row") != std::string::npos));
    check_all_answered(cluster, {0, 1, 2});
    const auto candidate_calls = cluster.started_calls(2);
    check_all_answered(cluster, {0, 1, 2});
    BOOST_TEST(cluster.started_calls(2) == candidate_calls);
    BOOST_TEST(cluster.violations() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
