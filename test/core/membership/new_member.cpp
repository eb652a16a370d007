#include "goldcrestwell/core/membership/membership.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <utility>
#include <vector>

using namespace goldcrestwell;
using std::chrono::seconds;

namespace {

constexpr node_id self{1};
constexpr node_id peer{2};
constexpr node_id joining_node{3};

member alive(const node_id id, const std::uint64_t start_incarnation) {
    return {.id = id,
            .start_incarnation = incarnation{start_incarnation},
            .incarnation = incarnation{start_incarnation},
            .data_centre = {"centre"},
            .region = {"region"}};
}

datagram ping_of(const member& sender, std::vector<member> members) {
    return {.kind = datagram_kind::ping,
            .sender = sender.id,
            .start_incarnation = sender.start_incarnation,
            .sequence = 7,
            .members = std::move(members)};
}

/** @brief A node whose table has one other member. */
struct one_peer_fixture {
    one_peer_fixture() {
        node.start(now);
        node.on_datagram(ping_of(alive(peer, 10), {alive(peer, 10)}), now);
        sent.clear();
    }

    /** @brief Checks whether the node requested a record, which it does by a ping with sequence number 0. */
    [[nodiscard]] bool requested_record(const node_id target) const {
        return std::ranges::any_of(sent, [target](const auto& item) {
            return item.first == target && item.second.kind == datagram_kind::ping && item.second.sequence == 0;
        });
    }

    time_sample now{.steady = steady_time{seconds{100}}, .wall = {}};
    std::vector<std::pair<node_id, datagram>> sent;
    membership node{
        {.self = alive(self, 10),
         .seeds = {peer},
         .send_datagram = [this](const node_id to, const datagram& message) { sent.emplace_back(to, message); },
         .send_frame = [](node_id, const peer_message&) {},
         .wire_size =
             [](const datagram& message) {
                 return 42 + 66 * message.members.size();
             }}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(new_members, one_peer_fixture)

// Guards against a node that has the records of all others while none has its record, because it was lost in a network
// partition.
BOOST_AUTO_TEST_CASE(record_of_an_unknown_sender_is_requested) {
    node.on_datagram(ping_of(alive(joining_node, 20), {}), now);
    BOOST_TEST(requested_record(joining_node));
}

BOOST_AUTO_TEST_CASE(record_of_a_restarted_sender_is_requested) {
    auto previous = alive(joining_node, 10);
    previous.status = member_status::left;
    node.on_datagram(ping_of(alive(peer, 10), {previous}), now);
    node.on_datagram(ping_of(alive(joining_node, 20), {}), now);
    BOOST_TEST(requested_record(joining_node));
}

// Guards against superfluous requests to every sender while many nodes join at once.
BOOST_AUTO_TEST_CASE(record_is_not_requested_from_a_sender_that_includes_it) {
    node.on_datagram(ping_of(alive(joining_node, 20), {alive(joining_node, 20)}), now);
    BOOST_TEST(!requested_record(joining_node));
    node.on_datagram(ping_of(alive(joining_node, 20), {}), now);
    BOOST_TEST(!requested_record(joining_node));
}

// Load: rolling restarts while the store refuses the restarted nodes, which then know no other node. Guards against a
// restarted node that its peers do not contact because it left in an orderly way.
BOOST_AUTO_TEST_CASE(node_that_left_is_contacted_again) {
    auto options = membership_options{
        .self = alive(self, 10),
        .timing = {.reconnect_interval = std::chrono::milliseconds{1'000}},
        .send_datagram = [this](const node_id to, const datagram& message) { sent.emplace_back(to, message); },
        .send_frame = [](node_id, const peer_message&) {},
        .wire_size =
            [](const datagram& message) {
                return 42 + 66 * message.members.size();
            }};
    membership restarted{std::move(options)};
    restarted.start(now);
    auto previous = alive(joining_node, 10);
    restarted.on_datagram(ping_of(alive(peer, 10), {alive(peer, 10), previous}), now);
    previous.status = member_status::left;
    previous.incarnation = incarnation{11};
    restarted.on_datagram(ping_of(alive(peer, 10), {previous}), now);
    sent.clear();
    for (int i = 0; i < 200 && !requested_record(joining_node); ++i) {
        now.steady += std::chrono::milliseconds{10};
        restarted.on_timer(now);
    }
    BOOST_TEST(requested_record(joining_node));
}

BOOST_AUTO_TEST_SUITE_END()
