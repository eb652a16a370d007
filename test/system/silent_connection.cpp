#include "goldcrestwell/shell/timer.hpp"
#include "system/call_checks.hpp"
#include "system/tcp_relay.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace goldcrestwell;
using namespace goldcrestwell::test;

namespace {

constexpr std::uint16_t first_port = 24'700;
constexpr std::chrono::milliseconds row_timeout{2'000};
// Scheduling delay of a busy machine; far shorter than the timeout of the client.
constexpr std::chrono::milliseconds scheduling_slack{3'000};

/** @brief Announces an upstream with the address of a relay every second. */
class relay_announcer {
public:
    relay_announcer(test_cluster& cluster, const std::size_t node)
        : admin_port_{cluster.admin_port(node)}, relay_port_{cluster.relay_port(node)}, loop_{cluster.loop().loop()},
          announcement_timer_{loop_, [this](time_sample) {
                                  announce();
                              }} {
        announce();
    }

private:
    void announce() {
        const nlohmann::json body{
            {"service", "orders"}, {"upstream_version", "v1"}, {"address", "127.0.0.1:" + std::to_string(relay_port_)},
            {"slots", 10},         {"connections", 130},       {"load", 0}};
        connection_ =
            std::make_unique<http_connection>(loop_, endpoint{.address = "127.0.0.1", .port = admin_port_}, 1000);
        connection_->send({.method = "POST",
                           .target = "/announce",
                           .headers = {{.name = "Content-Type", .value = "application/json"}},
                           .body = body.dump()},
                          [](const upstream_result&) {});
        announcement_timer_.schedule_after(std::chrono::seconds{1});
    }

    std::uint16_t admin_port_;
    std::uint16_t relay_port_;
    event_loop& loop_;
    std::unique_ptr<http_connection> connection_;
    timer announcement_timer_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(silent_connection)

// Guards against callers that wait beyond their deadline for a connection that no longer passes data, against a second
// run of such a call, and against a pool that keeps using these connections.
BOOST_AUTO_TEST_CASE(silent_upstream_connections_are_replaced) {
    test_cluster cluster{{.first_port = first_port,
                          .members = {{.version = ""}, {.data_centre = "north-2", .announces = false}},
                          .work = std::chrono::milliseconds{20}}};
    tcp_relay relay{cluster.loop().loop(), cluster.relay_port(1), cluster.upstream_port(1)};
    const relay_announcer announcer{cluster, 1};
    BOOST_REQUIRE(cluster.wait_until_ready());
    BOOST_REQUIRE(apply_everywhere(cluster, "/orders,orders,v1,100,,0,0,0,2000,false,proceed\n"));
    call_load load{cluster.loop(), {.ports = cluster.caller_ports({0, 1})}};
    cluster.loop().run_for(std::chrono::seconds{1});
    const auto accepted_before = relay.accepted();
    relay.silence_open_connections();
    cluster.loop().run_for(std::chrono::seconds{5});
    BOOST_TEST(load.finish());
    BOOST_TEST(relay.accepted() > accepted_before);
    BOOST_TEST(load.count(call_ending::unknown) > 0U);
    for (const auto& record : load.records()) {
        BOOST_CHECK_MESSAGE(record.ending() == call_ending::answered || record.ending() == call_ending::unknown ||
                                record.ending() == call_ending::not_run,
                            record);
        BOOST_CHECK_MESSAGE(record.duration <= row_timeout + scheduling_slack, record);
    }
    check_calls(cluster, load);
    check_all_answered(cluster, {0, 1});
    BOOST_TEST(cluster.violations() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
