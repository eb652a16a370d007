// Bytes on the port for other nodes, from strangers and from senders that introduce themselves.

#include "crowd/crowd_cluster.hpp"
#include "goldcrestwell/codec/frame_codec.hpp"
#include "goldcrestwell/codec/frame_splitter.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using test::crowd_cluster;

namespace {

constexpr std::size_t crowd_size = 24;
constexpr std::size_t frame_bytes = std::size_t{8} << 20U;
constexpr std::uint32_t loopback = 0x7F000001;

/** @brief Cluster and an incomplete frame. */
struct fixture {
    std::string frame = frame_prefix(frame_bytes) + std::string(frame_bytes - 1, 'f');
    crowd_cluster cluster;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crowd_of_peers, fixture)

BOOST_AUTO_TEST_CASE(frames_of_strangers_held_just_short_of_their_end) {
    const auto clients = cluster.connect(cluster.front().peer_port, crowd_size);
    for (const auto& client : clients) {
        client->write_reference(frame);
    }
    cluster.wait_until_sent(clients);
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(frames_of_peers_held_just_short_of_their_end) {
    const auto clients = cluster.connect(cluster.front().peer_port, crowd_size);
    for (std::size_t number = 0; number < clients.size(); ++number) {
        const node_id sender{loopback, static_cast<std::uint16_t>(60'000 + number)};
        const auto introduction = encode(peer_message{hello{.sender = sender, .start_incarnation = incarnation{1}}});
        clients[number]->write(frame_prefix(introduction.size()) + introduction);
        clients[number]->write_reference(frame);
    }
    cluster.wait_until_sent(clients);
    cluster.check_survival();
}

BOOST_AUTO_TEST_SUITE_END()
