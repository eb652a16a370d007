#include "goldcrestwell/core/config/document_register.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;

namespace {

const node_id peer{1, 1};
const steady_time start{std::chrono::seconds{10}};

operator_record record(const std::uint64_t offset, const std::string& key) {
    return {.offset = log_offset{offset}, .key = key, .payload = std::to_string(offset)};
}

struct fixture {
    std::vector<std::string> applied;
    std::vector<log_offset> pulls;
    std::vector<document_batch> sent;
    document_register documents{
        {.send_pull = [this](node_id, const document_pull& pull) { pulls.push_back(pull.after); },
         .send_batch = [this](node_id, const document_batch& batch) { sent.push_back(batch); },
         .record_changed =
             [this](const operator_record& changed) {
                 applied.push_back(changed.key + changed.payload);
                 return true;
             }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(register_of_documents)

// Guards against an older configuration that replaces a newer one when batches of the store and of peers overlap.
BOOST_AUTO_TEST_CASE(older_records_are_ignored) {
    fixture node;
    node.documents.on_records(std::vector{record(5, "a"), record(3, "b")}, log_offset{5});
    node.documents.on_batch({.through = log_offset{4}, .records = {record(2, "a"), record(3, "b")}});
    BOOST_TEST(node.applied == (std::vector<std::string>{"b3", "a5"}), boost::test_tools::per_element());
    BOOST_TEST((node.documents.position() == log_offset{5}));
}

// Guards against a node that never receives a change because the store rejects its reads.
BOOST_AUTO_TEST_CASE(records_are_pulled_if_the_store_does_not_return_them) {
    fixture node;
    node.documents.on_peer_position(peer, log_offset{2}, start);
    node.documents.on_timer(start + milliseconds{100});
    BOOST_TEST(node.pulls.empty());
    node.documents.on_timer(start + milliseconds{300});
    BOOST_TEST(node.pulls.size() == 1U);
    node.documents.on_batch({.through = log_offset{2}, .records = {record(2, "a")}});
    BOOST_TEST(!node.documents.next_timer().has_value());
}

// Guards against needless traffic between nodes: a pull of records that the store has returned in the meantime.
BOOST_AUTO_TEST_CASE(read_from_the_store_cancels_the_pull) {
    fixture node;
    node.documents.on_peer_position(peer, log_offset{2}, start);
    node.documents.on_records(std::vector{record(2, "a")}, log_offset{2});
    node.documents.on_timer(start + milliseconds{300});
    BOOST_TEST(node.pulls.empty());
}

// Guards against replies that repeat records which the peer already has.
BOOST_AUTO_TEST_CASE(reply_to_a_pull_contains_newer_records_only) {
    fixture node;
    node.documents.on_records(std::vector{record(1, "a"), record(4, "b")}, log_offset{4});
    node.documents.on_pull(peer, {.after = log_offset{2}});
    BOOST_REQUIRE(node.sent.size() == 1U);
    BOOST_TEST(node.sent.front().records.size() == 1U);
    BOOST_TEST((node.sent.front().through == log_offset{4}));
}

// Load: one change fetched by many nodes. Guards against a document that is packed again for each of them, and against
// one that is applied without being unpacked.
BOOST_AUTO_TEST_CASE(documents_are_packed_once_and_unpacked_on_receipt) {
    int packings = 0;
    std::vector<std::string> applied;
    document_register documents{{.send_batch = [&](node_id, const document_batch& batch) { documents.on_batch(batch); },
                                 .pack =
                                     [&packings](const std::string_view text) {
                                         ++packings;
                                         return "<" + std::string{text};
                                     },
                                 .unpack =
                                     [](const std::string_view text) {
                                         return text.starts_with('<') ? std::optional{std::string{text.substr(1)}}
                                                                      : std::nullopt;
                                     },
                                 .record_unreadable = [](const operator_record&) {},
                                 .record_changed =
                                     [&applied](const operator_record& changed) {
                                         applied.push_back(changed.payload);
                                         return true;
                                     }}};
    documents.on_records(std::vector{record(4, "a")}, log_offset{4});
    documents.on_pull(peer, {});
    documents.on_pull(peer, {});
    BOOST_TEST(packings == 1);
    documents.on_batch({.through = log_offset{9}, .records = {{.offset = log_offset{9}, .key = "a", .payload = "<9"}}});
    BOOST_TEST(applied == (std::vector<std::string>{"4", "9"}), boost::test_tools::per_element());
}

// Guards against a position that is raised past a record that could not be unpacked.
BOOST_AUTO_TEST_CASE(batch_with_unreadable_record_is_ignored) {
    int unreadable = 0;
    document_register documents{{.unpack = [](std::string_view) { return std::optional<std::string>{}; },
                                 .record_unreadable = [&unreadable](const operator_record&) { ++unreadable; },
                                 .record_changed =
                                     [](const operator_record&) {
                                         return true;
                                     }}};
    documents.on_batch({.through = log_offset{9}, .records = {record(9, "a")}});
    BOOST_TEST(unreadable == 1);
    BOOST_TEST((documents.position() == log_offset{}));
}

// Guards against a node on standby that delays a pull to wait for its own read, although it does not read.
BOOST_AUTO_TEST_CASE(standby_node_pulls_from_the_same_data_centre_immediately) {
    int pulls = 0;
    document_register documents{{.is_in_same_data_centre = [](const node_id from) { return from == peer; },
                                 .is_on_standby = [] { return true; },
                                 .send_pull =
                                     [&pulls](node_id, const document_pull&) {
                                         ++pulls;
                                     }}};
    documents.on_peer_position(node_id{2, 1}, log_offset{2}, start);
    documents.on_timer(start);
    BOOST_TEST(pulls == 0);
    documents.on_peer_position(peer, log_offset{2}, start);
    documents.on_timer(start);
    BOOST_TEST(pulls == 1);
}

BOOST_AUTO_TEST_SUITE_END()
