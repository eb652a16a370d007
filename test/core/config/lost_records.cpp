// A fault of pulls after the store has returned from an older copy; not run by default, see KNOWN-RED.txt.

#include "goldcrestwell/core/common/store_offset.hpp"
#include "goldcrestwell/core/config/document_register.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

using namespace goldcrestwell;

namespace {

const node_id peer{1, 1};

log_offset offset(const std::uint32_t era, const std::uint32_t number) {
    return make_store_offset(store_era{era}, number);
}

// Register whose record in effect is the one with the highest payload.
struct versioned_register {
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

BOOST_AUTO_TEST_SUITE(lost_records, *boost::unit_test::disabled())

// Guards against a node that keeps an older configuration because the first peer that it asks was cut off as well.
BOOST_AUTO_TEST_CASE(lost_records_are_found_at_a_second_peer) {
    versioned_register node;
    node.read(offset(2, 6), "version 1");
    versioned_register cut_off;
    cut_off.read(offset(2, 6), "version 1");
    versioned_register informed;
    informed.read(offset(1, 9), "version 3");
    informed.read(offset(2, 6), "version 1");
    steady_time now{std::chrono::seconds{10}};
    for (int round = 0; round < 10; ++round) {
        for (auto* other : {&cut_off, &informed}) {
            now += std::chrono::seconds{1};
            const auto pulls = node.pulls.size();
            node.documents.on_peer_position(peer, offset(2, 6), now);
            node.documents.on_timer(now + std::chrono::milliseconds{500});
            if (node.pulls.size() > pulls) {
                other->documents.on_pull(peer, {.after = node.pulls.back()});
                node.documents.on_batch(other->sent.back());
            }
        }
    }
    BOOST_TEST(node.in_effect == "version 3");
}

BOOST_AUTO_TEST_SUITE_END()
