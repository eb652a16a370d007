// Changes of the configuration while the store serves only some nodes.

#include "platform/free_port.hpp"
#include "platform/raw_upstream.hpp"
#include "platform/sidecar_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::sidecar_cluster;

namespace {

constexpr std::uint32_t loopback = 0x7F000001;

/** @brief Two nodes of one data centre, and three of another one, which the store stops to serve. */
struct fixture {
    fixture() {
        rejecting_store.set_down(true);
        BOOST_REQUIRE(rejecting_store.start());
        for (std::size_t i = 0; i < 5; ++i) {
            auto& host = cluster.add_host("orders");
            host.settings.data_centre = {i < served_count ? "north" : "south"};
            cluster.start(host);
        }
        cluster.write_config(3, "orders");
        announce_from(0);
        auto host = cluster.hosts.begin() + served_count;
        for (const auto port : {refusing_port, silent_port, rejecting_port}) {
            (*host)->settings.store = {loopback, port};
            cluster.start(**host);
            ++host;
        }
        announce_from(served_count);
    }

    void announce_from(const std::size_t first) {
        for (auto i = first; i < cluster.hosts.size(); ++i) {
            BOOST_REQUIRE(cluster.announce(*cluster.hosts[i]) == 200U);
        }
        BOOST_REQUIRE(cluster.wait_for([this] {
            return std::ranges::all_of(cluster.hosts,
                                       [this](const auto& host) { return cluster.ready(*host) == 200U; });
        }));
    }
    [[nodiscard]] bool all_have(const std::uint64_t version) {
        const auto text = "\"config_version\": " + std::to_string(version);
        return std::ranges::all_of(cluster.hosts, [this, &text](const auto& host) {
            return cluster.status(*host).find(text) != std::string::npos;
        });
    }

    static constexpr std::ptrdiff_t served_count = 2;
    sidecar_cluster cluster;
    std::uint16_t refusing_port{test::free_port()};
    std::uint16_t silent_port{test::free_port()};
    std::uint16_t rejecting_port{test::free_port()};
    test::fake_store rejecting_store{cluster.loop, rejecting_port};
    // The kernel accepts connections; nothing reads from them because the loop does not run.
    event_loop silent_loop;
    test::raw_upstream silent_store{silent_loop, silent_port, [](const std::string&, const auto&) {
                                    }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_access)

// Guards against nodes that the store refuses, rejects or does not answer and that do not follow the nodes of another
// data centre.
BOOST_FIXTURE_TEST_CASE(nodes_without_service_of_the_store_apply_changes_in_time, fixture) {
    for (std::uint64_t version = 10; version < 14; ++version) {
        const auto deadline = cluster.loop.now().steady + seconds{2};
        cluster.write_config(version, "orders");
        BOOST_TEST(cluster.wait_for([this, version] { return all_have(version); }));
        BOOST_TEST((cluster.loop.now().steady <= deadline));
        cluster.run_for(milliseconds{250});
    }
    BOOST_TEST(rejecting_store.calls() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
