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
         .changed =
             [this](const operator_record& changed) {
                 applied.push_back(changed.key + changed.payload);
             }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(register_of_documents)

// Guards against a configuration that goes back when batches of the store and of peers cross.
BOOST_AUTO_TEST_CASE(older_records_change_nothing) {
    fixture node;
    node.documents.on_records(std::vector{record(5, "a"), record(3, "b")}, log_offset{5});
    node.documents.on_batch({.through = log_offset{4}, .records = {record(2, "a"), record(3, "b")}});
    BOOST_TEST(node.applied == (std::vector<std::string>{"b3", "a5"}), boost::test_tools::per_element());
    BOOST_TEST((node.documents.position() == log_offset{5}));
}

// Guards against a node that never hears of a change because the store turns it away.
BOOST_AUTO_TEST_CASE(news_of_a_peer_is_pulled_if_the_own_read_does_not_bring_it) {
    fixture node;
    node.documents.on_peer_position(peer, log_offset{2}, start);
    node.documents.on_timer(start + milliseconds{100});
    BOOST_TEST(node.pulls.empty());
    node.documents.on_timer(start + milliseconds{300});
    BOOST_TEST(node.pulls.size() == 1U);
    node.documents.on_batch({.through = log_offset{2}, .records = {record(2, "a")}});
    BOOST_TEST(!node.documents.next_timer().has_value());
}

BOOST_AUTO_TEST_CASE(own_read_makes_a_pull_needless) {
    fixture node;
    node.documents.on_peer_position(peer, log_offset{2}, start);
    node.documents.on_records(std::vector{record(2, "a")}, log_offset{2});
    node.documents.on_timer(start + milliseconds{300});
    BOOST_TEST(node.pulls.empty());
}

BOOST_AUTO_TEST_CASE(pull_gets_what_is_newer_than_its_position) {
    fixture node;
    node.documents.on_records(std::vector{record(1, "a"), record(4, "b")}, log_offset{4});
    node.documents.on_pull(peer, {.after = log_offset{2}});
    BOOST_REQUIRE(node.sent.size() == 1U);
    BOOST_TEST(node.sent.front().records.size() == 1U);
    BOOST_TEST((node.sent.front().through == log_offset{4}));
}

BOOST_AUTO_TEST_SUITE_END()
