// The store returns from an older copy: offsets of records that it has lost are given out again.

#include "goldcrestwell/core/common/store_offset.hpp"
#include "goldcrestwell/core/config/document_register.hpp"
#include "goldcrestwell/core/config/store_follower.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;

namespace {

const node_id peer{1, 1};
const steady_time start{std::chrono::seconds{10}};

log_offset offset(const std::uint32_t era, const std::uint32_t number) {
    return make_store_offset(store_era{era}, number);
}

struct follower_fixture {
    int newest_reads{};
    std::vector<log_offset> reads;
    std::vector<log_offset> received_ends;
    store_follower follower{{.seed = 1,
                             .read_newest = [this] { ++newest_reads; },
                             .read_after = [this](const log_offset after, milliseconds) { reads.push_back(after); },
                             .page_received = [this](const store_page& page) { received_ends.push_back(page.end); },
                             .reachable_changed =
                                 [](bool) {
                                 }}};

    void finish_read(const log_offset end, const read_outcome outcome = read_outcome::ok) {
        follower.on_page({.outcome = outcome, .records = {{.offset = end, .key = "a", .payload = "b"}}, .end = end},
                         start);
    }
};

// Register that takes a record only if its payload, as a version, is above that of the record in effect.
struct register_fixture {
    std::string in_effect;
    std::vector<log_offset> pulls;
    std::vector<document_batch> sent;
    document_register documents{
        {.send_pull = [this](node_id, const document_pull& pull) { pulls.push_back(pull.after); },
         .send_batch = [this](node_id, const document_batch& batch) { sent.push_back(batch); },
         .record_changed =
             [this](const operator_record& record) {
                 const auto is_newer = record.payload > in_effect;
                 in_effect = is_newer ? record.payload : in_effect;
                 return is_newer;
             }}};

    void read(const log_offset at, const std::string& version) {
        documents.on_records(std::vector{operator_record{.offset = at, .key = "config", .payload = version}}, at);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(replaced_history)

// Guards against a read that continues at the position of a lost history and so skips the records that were written
// between the copy and that position.
BOOST_AUTO_TEST_CASE(newest_records_are_read_after_a_response_of_a_later_history) {
    follower_fixture node;
    node.follower.start(start);
    node.finish_read(offset(1, 40));
    node.finish_read(offset(2, 41));
    BOOST_TEST(node.newest_reads == 2);
    node.finish_read(offset(2, 41));
    BOOST_TEST((node.received_ends == std::vector{offset(1, 40), offset(2, 41)}));
    BOOST_TEST((node.reads == std::vector{offset(1, 40), offset(2, 41)}));
}

// Guards against the same if the store does not have the position any more.
BOOST_AUTO_TEST_CASE(newest_records_are_read_if_the_position_is_gone) {
    follower_fixture node;
    node.follower.start(start);
    node.finish_read(offset(1, 40));
    node.finish_read(offset(2, 0), read_outcome::expired);
    BOOST_TEST(node.newest_reads == 2);
}

// Guards against a long poll that was sent before the store returned, is answered late, and takes the node back to the
// history that a peer has already left.
BOOST_AUTO_TEST_CASE(late_response_of_an_earlier_history_is_dropped) {
    follower_fixture node;
    node.follower.start(start);
    node.finish_read(offset(1, 40));
    node.follower.advance_to(offset(2, 38));
    node.finish_read(offset(1, 41));
    BOOST_TEST((node.received_ends == std::vector{offset(1, 40)}));
    BOOST_REQUIRE(node.follower.next_timer().has_value());
    node.follower.on_timer(*node.follower.next_timer());
    BOOST_TEST((node.reads.back() == offset(2, 38)));
    node.finish_read(offset(2, 39));
    BOOST_TEST((node.received_ends.back() == offset(2, 39)));
}

// Guards against a page that begins at the position of a lost history, while a peer has sent a position of the present
// one.
BOOST_AUTO_TEST_CASE(read_from_a_lost_position_is_repeated_from_the_present_one) {
    follower_fixture node;
    node.follower.start(start);
    node.finish_read(offset(1, 40));
    node.follower.advance_to(offset(2, 38));
    node.finish_read(offset(2, 42));
    BOOST_TEST((node.received_ends == std::vector{offset(1, 40)}));
    BOOST_TEST((node.reads.back() == offset(2, 38)));
}

// Guards against a newer configuration that is never applied because its offset was given out before.
BOOST_AUTO_TEST_CASE(record_under_an_offset_that_was_given_out_before_takes_effect) {
    register_fixture node;
    node.read(offset(1, 9), "version 3");
    node.read(offset(2, 7), "version 4");
    BOOST_TEST(node.in_effect == "version 4");
    BOOST_TEST((node.documents.position() == offset(2, 7)));
}

// Guards against the same for a node that gets its records from peers.
BOOST_AUTO_TEST_CASE(peer_in_a_later_history_is_ahead) {
    register_fixture node;
    node.read(offset(1, 9), "version 3");
    node.documents.on_peer_position(peer, offset(2, 7), start);
    node.documents.on_timer(start + std::chrono::seconds{1});
    BOOST_REQUIRE(!node.pulls.empty());
    register_fixture ahead;
    ahead.read(offset(2, 7), "version 4");
    ahead.documents.on_pull(peer, {.after = node.pulls.front()});
    node.documents.on_batch(ahead.sent.front());
    BOOST_TEST(node.in_effect == "version 4");
}

// Guards against a configuration that goes back in one process, and against a peer that is sent the older one.
BOOST_AUTO_TEST_CASE(older_record_of_the_copy_does_not_replace_a_newer_one) {
    register_fixture node;
    node.read(offset(1, 9), "version 3");
    node.read(offset(2, 6), "version 1");
    BOOST_TEST(node.in_effect == "version 3");
    node.documents.on_pull(peer, {});
    BOOST_REQUIRE(node.sent.front().records.size() == 1U);
    BOOST_TEST(node.sent.front().records.front().payload == "version 3");
    BOOST_TEST((node.sent.front().through == offset(2, 6)));
}

// Guards against a node that starts after the return, reads the older copy, and keeps it although its peers know
// better.
BOOST_AUTO_TEST_CASE(node_that_has_read_the_copy_gets_lost_records_from_a_peer) {
    register_fixture node;
    node.read(offset(2, 6), "version 1");
    node.documents.on_peer_position(peer, offset(2, 6), start);
    node.documents.on_timer(start + std::chrono::seconds{1});
    BOOST_REQUIRE((node.pulls == std::vector{log_offset{}}));
    register_fixture long_running;
    long_running.read(offset(1, 9), "version 3");
    long_running.read(offset(2, 6), "version 1");
    long_running.documents.on_pull(peer, {.after = node.pulls.front()});
    node.documents.on_batch(long_running.sent.front());
    BOOST_TEST(node.in_effect == "version 3");
    node.documents.on_peer_position(peer, offset(2, 6), start);
    BOOST_TEST(!node.documents.next_timer().has_value());
}

// Guards against the same for a node that was cut off when the lost record was written.
BOOST_AUTO_TEST_CASE(node_that_was_cut_off_gets_lost_records_from_a_peer) {
    register_fixture node;
    node.read(offset(1, 5), "version 1");
    node.documents.on_batch({.through = offset(1, 5), .records = {}});
    node.read(offset(2, 6), "version 2");
    node.documents.on_peer_position(peer, offset(2, 6), start);
    node.documents.on_timer(start + std::chrono::seconds{1});
    BOOST_REQUIRE((node.pulls == std::vector{log_offset{}}));
    node.documents.on_batch(
        {.through = offset(2, 6), .records = {{.offset = offset(1, 9), .key = "config", .payload = "version 3"}}});
    BOOST_TEST(node.in_effect == "version 3");
    BOOST_TEST(!node.documents.next_timer().has_value());
}

// Guards against a node that never gets lost records because one of a peer's records was unreadable.
BOOST_AUTO_TEST_CASE(records_of_a_peer_are_requested_again_if_one_is_unreadable) {
    std::size_t pulls{};
    document_register documents{{.send_pull = [&](node_id, const document_pull&) { ++pulls; },
                                 .send_batch = [](node_id, const document_batch&) {},
                                 .unpack = [](std::string_view) -> std::optional<std::string> { return std::nullopt; },
                                 .record_unreadable = [](const operator_record&) {},
                                 .record_changed =
                                     [](const operator_record&) {
                                         return true;
                                     }}};
    documents.on_records({}, offset(2, 6));
    documents.on_peer_position(peer, offset(2, 6), start);
    documents.on_timer(start + std::chrono::seconds{1});
    BOOST_TEST(pulls == 1U);
    documents.on_batch(
        {.through = offset(2, 6), .records = {{.offset = offset(1, 9), .key = "config", .payload = "version 3"}}});
    documents.on_peer_position(peer, offset(2, 6), start + std::chrono::seconds{1});
    documents.on_timer(start + std::chrono::seconds{3});
    BOOST_TEST(pulls == 2U);
}

// Guards against documents that are sent between nodes for nothing, on a store that never returns from a copy.
BOOST_AUTO_TEST_CASE(nothing_is_pulled_without_need_from_a_store_without_eras) {
    register_fixture node;
    node.read(offset(0, 6), "version 1");
    node.documents.on_peer_position(peer, offset(0, 6), start);
    BOOST_TEST(!node.documents.next_timer().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
