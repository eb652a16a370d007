#include "goldcrestwell/shell/gossip_socket.hpp"

#include "shell/loop_steps.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace goldcrestwell;
using test::run_until;

namespace {

constexpr std::uint32_t loopback = 0x7F000001;
constexpr node_id first_id{loopback, 25'220};
constexpr node_id second_id{loopback, 25'221};

} // namespace

BOOST_AUTO_TEST_SUITE(gossip_socket_suite)

// Guards against datagrams that are altered in transit, and against datagrams with a forged sender.
BOOST_AUTO_TEST_CASE(datagram_is_delivered_and_forged_sender_is_dropped) {
    event_loop loop;
    std::vector<datagram> received;
    std::vector<drop_reason> drops;
    gossip_socket first{loop,
                        {.self = first_id,
                         .on_datagram = [](const datagram&) {},
                         .on_drop =
                             [](drop_reason) {
                             }}};
    gossip_socket second{loop,
                         {.self = second_id,
                          .on_datagram = [&](const datagram& message) { received.push_back(message); },
                          .on_drop =
                              [&](const drop_reason reason) {
                                  drops.push_back(reason);
                              }}};
    BOOST_REQUIRE(first.start());
    BOOST_REQUIRE(second.start());
    datagram sent{.kind = datagram_kind::ping, .sender = first_id, .start_incarnation = incarnation{7}, .sequence = 9};
    first.send(second_id, sent);
    BOOST_REQUIRE(run_until(loop, [&] { return !received.empty(); }));
    BOOST_TEST((received.front() == sent));
    BOOST_TEST(first.bytes_sent() > 0U);
    sent.sender = second_id;
    first.send(second_id, sent);
    BOOST_REQUIRE(run_until(loop, [&] { return !drops.empty(); }));
    BOOST_TEST((drops.front() == drop_reason::unknown_sender));
    BOOST_TEST(received.size() == 1U);
}

// Guards against two nodes on the same address and port that both start without an error.
BOOST_AUTO_TEST_CASE(start_fails_if_port_is_in_use) {
    event_loop loop;
    gossip_socket first{loop,
                        {.self = first_id,
                         .on_datagram = [](const datagram&) {},
                         .on_drop =
                             [](drop_reason) {
                             }}};
    gossip_socket second{loop,
                         {.self = first_id,
                          .on_datagram = [](const datagram&) {},
                          .on_drop =
                              [](drop_reason) {
                              }}};
    BOOST_TEST(first.start());
    BOOST_TEST(!second.start());
}

BOOST_AUTO_TEST_SUITE_END()
