// Crowds of connections. Each process must stay within the descriptors of its host, and ordinary callers must still get
// responses.

#include "crowd/crowd_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using test::crowd_cluster;

namespace {

constexpr std::size_t crowd_size = 500;

/** @brief Hosts with fewer descriptors than a crowd has connections. */
struct fixture {
    crowd_cluster cluster{{.max_fds = 400}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crowd_of_connections, fixture)

BOOST_AUTO_TEST_CASE(silent_connections) {
    const auto clients = cluster.connect(cluster.front().caller_port, crowd_size);
    cluster.run_for(milliseconds{1'000});
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(heads_held_just_short_of_their_end) {
    const auto clients = cluster.connect(cluster.front().caller_port, crowd_size);
    const auto head = test::upload_head("head", "X-Padding: " + std::string(12'000, 'p'));
    for (const auto& client : clients) {
        client->write(std::string_view{head}.substr(0, head.size() - 1));
    }
    cluster.wait_until_sent(clients);
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(small_bodies_held_just_short_of_their_end) {
    const auto clients = cluster.connect(cluster.front().caller_port, crowd_size);
    const auto request = test::upload_head("small", "Content-Length: 60000") + std::string(59'999, 's');
    for (const auto& client : clients) {
        client->write(request);
    }
    cluster.wait_until_sent(clients);
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(silent_connections_to_the_peer_port) {
    const auto clients = cluster.connect(cluster.front().peer_port, crowd_size);
    cluster.run_for(milliseconds{1'000});
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(silent_connections_to_the_ports_of_the_platform) {
    for (const auto port :
         {cluster.front().ready_port, cluster.front().announcement_port, cluster.front().admin_port}) {
        const auto clients = cluster.connect(port, crowd_size);
        cluster.run_for(milliseconds{1'000});
        cluster.check_survival();
    }
}

BOOST_AUTO_TEST_CASE(announcements_held_just_short_of_their_end) {
    constexpr std::size_t announcement_bytes = 1'000'000;
    const std::string body(announcement_bytes - 1, 'a');
    const auto clients = cluster.connect(cluster.front().announcement_port, crowd_size / 2);
    for (const auto& client : clients) {
        client->write("PUT /goldcrestwell/instances/u-x HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                      std::to_string(announcement_bytes) + "\r\n\r\n");
        client->write_reference(body);
    }
    cluster.wait_until_sent(clients);
    cluster.check_survival();
}

BOOST_AUTO_TEST_SUITE_END()
