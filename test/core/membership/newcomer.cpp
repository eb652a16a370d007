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
constexpr node_id newcomer{3};

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

/** @brief A node that knows one peer. */
struct fixture {
    fixture() {
        node.start(now);
        node.on_datagram(ping_of(alive(peer, 10), {alive(peer, 10)}), now);
        sent.clear();
    }

    /** @return True if the node asked for an introduction, which is a ping with the sequence of a join. */
    [[nodiscard]] bool asked(const node_id whom) const {
        return std::ranges::any_of(sent, [whom](const auto& item) {
            return item.first == whom && item.second.kind == datagram_kind::ping && item.second.sequence == 0;
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

BOOST_FIXTURE_TEST_SUITE(newcomers, fixture)

// Guards against a node that knows all others but is known to none, because its own record was lost in a cut.
BOOST_AUTO_TEST_CASE(an_unknown_sender_is_asked_for_its_record) {
    node.on_datagram(ping_of(alive(newcomer, 20), {}), now);
    BOOST_TEST(asked(newcomer));
}

BOOST_AUTO_TEST_CASE(a_restarted_sender_is_asked_for_its_record) {
    auto former = alive(newcomer, 10);
    former.status = member_status::left;
    node.on_datagram(ping_of(alive(peer, 10), {former}), now);
    node.on_datagram(ping_of(alive(newcomer, 20), {}), now);
    BOOST_TEST(asked(newcomer));
}

// Guards against a question to each sender in a storm of joins.
BOOST_AUTO_TEST_CASE(a_sender_that_introduces_itself_is_not_asked) {
    node.on_datagram(ping_of(alive(newcomer, 20), {alive(newcomer, 20)}), now);
    BOOST_TEST(!asked(newcomer));
    node.on_datagram(ping_of(alive(newcomer, 20), {}), now);
    BOOST_TEST(!asked(newcomer));
}

BOOST_AUTO_TEST_SUITE_END()
