#include "simulated_network.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;
using simulated::network;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(formation)

// Guards against overload of a seed, against exchanges that repeat known records and against gossip that exhausts the
// byte budget, each of which delays the formation of a cluster.
BOOST_AUTO_TEST_CASE(nodes_started_together_form_a_cluster_within_a_minute) {
    constexpr std::size_t node_count = 300;
    // Each node receives 300 records of about 110 bytes, 5 s of its budget; the rest is for joins through one seed.
    constexpr seconds time_limit{60};
    network net{node_count, 4, 1, 5};
    net.network_faults = {.drop = 0.01, .duplicate = 0.01, .max_delay = milliseconds{100}};
    for (std::size_t index = 0; index < node_count; ++index) {
        net.start(index);
        net.invoke(index, [&](membership& node) {
            node.announce({.service = {"orders"}, .version = {"v1"}, .slots = 10, .connections = 130}, net.now());
        });
    }
    const auto begin = net.now().steady;
    const auto complete = [&net] {
        for (std::size_t index = 0; index < node_count; ++index) {
            if (net.node(index).upstreams({"orders"}, {"v1"}).size() != node_count) {
                return false;
            }
        }
        return true;
    };
    while (!complete() && net.now().steady < begin + time_limit) {
        net.run_for(seconds{1});
    }
    BOOST_TEST(complete());
    const std::chrono::duration<double> elapsed = net.now().steady - begin;
    BOOST_TEST_MESSAGE("formed in " << elapsed.count() << " s");
    for (std::size_t index = 0; index < node_count; ++index) {
        BOOST_TEST(static_cast<double>(net.at(index).bytes_sent) <= 14'000.0 + 7000.0 * elapsed.count());
    }
}

BOOST_AUTO_TEST_SUITE_END()
