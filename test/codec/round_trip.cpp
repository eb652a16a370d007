#include "codec/random_message.hpp"
#include "goldcrestwell/codec/datagram_codec.hpp"
#include "goldcrestwell/codec/frame_codec.hpp"
#include "goldcrestwell/codec/frame_splitter.hpp"
#include "goldcrestwell/codec/record_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace goldcrestwell;

namespace {

// Sets a fixed rapidcheck seed, so that every run gives the same result; RC_PARAMS in the environment overrides it.
struct fixed_seed {
    fixed_seed() { ::setenv("RC_PARAMS", "seed=20261204", 0); }
};
BOOST_TEST_GLOBAL_FIXTURE(fixed_seed);

member typical_member() {
    return {.id = node_id{0x0A010203, 7001},
            .start_incarnation = incarnation{1'796'380'303'000},
            .incarnation = incarnation{1'796'380'303'002},
            .status = member_status::alive,
            .data_centre = {"dc-north-1"},
            .region = {"region-1"},
            .upstream =
                upstream_info{.service = {"order-desk"}, .version = {"2026.12.1"}, .slots = 12, .connections = 130}};
}

datagram typical_ping() {
    return {.kind = datagram_kind::ping,
            .sender = node_id{0x0A010203, 7001},
            .start_incarnation = incarnation{1'796'380'303'000},
            .sequence = 123'456,
            .target = node_id{0x0A010204, 7001},
            .position = log_offset{1'234'567},
            .members = {},
            .rollouts = {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(round_trip)

// Guards against a frame whose decoded fields differ from the encoded ones.
BOOST_AUTO_TEST_CASE(frames_keep_every_field) {
    BOOST_TEST(rc::check("frames", [](const std::uint64_t seed) {
        test::random_message source{seed};
        const auto message = test::random_peer_message(source, seed % std::variant_size_v<peer_message>);
        frame_decoder decoder;
        RC_ASSERT(decoder.decode(encode(message)) == message);
        RC_ASSERT(decoder.last_reason() == codec_reason::none);
    }));
}

// Guards against rejecting the batches in which a peer sends its whole state; their range of offsets is empty.
BOOST_AUTO_TEST_CASE(full_state_batches_are_accepted) {
    const record_batch batch{
        .after = log_offset{9},
        .records = {{.offset = log_offset{9}, .record = checkpoint_part{.covered_offset = log_offset{9}, .count = 1}}},
        .through = log_offset{9},
        .head = log_offset{9}};
    frame_decoder decoder;
    BOOST_TEST((decoder.decode(encode(peer_message{batch})) == peer_message{batch}));
}

// Guards against sync messages that lose a bucket, a record version or a requested id, so that nodes keep different
// data.
BOOST_AUTO_TEST_CASE(sync_messages_keep_every_field) {
    const std::vector<peer_message> messages{
        sync_digest{.buckets = {1, 2, 3, 4}, .rollouts = 5},
        sync_list{.records = {{.id = node_id{0x0A010203, 7001},
                               .incarnation = incarnation{1'796'380'303'002},
                               .status = member_status::leaving}},
                  .more = true},
        sync_request{.ids = {node_id{0x0A010203, 7001}, node_id{0x0A010204, 7001}}}};
    for (const auto& message : messages) {
        frame_decoder decoder;
        BOOST_TEST((decoder.decode(encode(message)) == message));
    }
}

// Guards against member records that change in transit.
BOOST_AUTO_TEST_CASE(datagrams_keep_every_field) {
    BOOST_TEST(rc::check("datagrams", [](const std::uint64_t seed) {
        test::random_message source{seed};
        const auto message = source.make<datagram>();
        datagram_decoder decoder;
        RC_ASSERT(decoder.decode(encode(message)) == message);
    }));
}

// Guards against log records whose decoded fields differ from the encoded ones, so that nodes apply another
// configuration.
BOOST_AUTO_TEST_CASE(records_keep_every_field) {
    BOOST_TEST(rc::check("records", [](const std::uint64_t seed) {
        test::random_message source{seed};
        const auto record = test::random_log_record(source, seed % 3);
        record_decoder decoder;
        RC_ASSERT(decoder.decode(encode(record)) == record);
    }));
}

// Guards against frames that are lost or merged when the stream arrives in chunks of any size.
BOOST_AUTO_TEST_CASE(splitter_is_independent_of_chunk_sizes) {
    BOOST_TEST(rc::check("pieces", [](const std::uint64_t seed) {
        test::random_message source{seed};
        std::vector<std::string> sent;
        std::string stream;
        for (std::size_t index = 0; index < 5; ++index) {
            sent.push_back(encode(test::random_peer_message(source, index)));
            stream += frame_prefix(sent.back().size()) + sent.back();
        }
        frame_splitter splitter;
        std::vector<std::string> received;
        for (std::size_t position = 0; position < stream.size();) {
            const std::size_t chunk_bytes = 1 + source.number(20);
            splitter.append(std::string_view{stream}.substr(position, chunk_bytes));
            position += chunk_bytes;
            while (const auto frame = splitter.next()) {
                received.emplace_back(*frame);
            }
        }
        RC_ASSERT(received == sent);
        RC_ASSERT(splitter.pending() == 0U);
    }));
}

// Guards against a peer that declares a huge frame, which would exhaust the memory, or an empty one, which would never
// end.
BOOST_AUTO_TEST_CASE(splitter_rejects_invalid_lengths) {
    frame_splitter oversized{100};
    oversized.append(frame_prefix(101));
    BOOST_TEST(!oversized.next().has_value());
    BOOST_TEST((oversized.last_reason() == codec_reason::too_large));
    oversized.append("more");
    BOOST_TEST(oversized.pending() == 0U);
    frame_splitter empty;
    empty.append(frame_prefix(0));
    BOOST_TEST(!empty.next().has_value());
    BOOST_TEST((empty.last_reason() == codec_reason::malformed));
}

// Guards against control traffic above the budget of 7 KB/s; the size limits are taken from the design.
BOOST_AUTO_TEST_CASE(membership_messages_stay_small) {
    const auto ping = encode(typical_ping());
    BOOST_TEST(ping.size() < 100U);
    auto with_member = typical_ping();
    with_member.members.push_back(typical_member());
    BOOST_TEST(encode(with_member).size() - ping.size() < 100U);
}

BOOST_AUTO_TEST_SUITE_END()
