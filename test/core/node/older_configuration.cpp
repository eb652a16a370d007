#include "goldcrestwell/core/common/store_offset.hpp"
#include "goldcrestwell/core/node/operator_source.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace goldcrestwell;

namespace {

struct fixture {
    std::vector<std::uint64_t> applied;
    std::vector<record_skipped> skipped;
    document_batch sent;
    operator_source source{
        {.hooks = {.read_newest = [] {},
                   .read_after = [](log_offset, std::chrono::milliseconds) {},
                   .decode = [](const operator_record& record) -> std::optional<operator_document> {
                       return routing_config{.version = std::stoull(record.payload)};
                   },
                   .read_statuses = [] {},
                   .write_status =
                       [](const rollout_status&, log_offset) {
                       }}},
        {.rollouts = {.nodes = [] { return std::vector<node_id>{}; },
                      .count_upstreams = [](const service_name&, const upstream_version&) { return std::size_t{}; },
                      .service_of = [](node_id) { return service_name{}; },
                      .broadcast = [](const rollout_update&) {},
                      .send_evidence =
                          [](node_id, const evidence_report&) {
                          }},
         .send_pull = [](node_id, const document_pull&) {},
         .send_batch = [this](node_id, const document_batch& batch) { sent = batch; },
         .is_nearby = [](node_id) { return true; },
         .reads_store_immediately = [] { return true; },
         .polls_store_briefly = [] { return false; },
         .has_recent_contact = [] { return true; },
         .config_changed = [this](const routing_config& config) { applied.push_back(config.version); },
         .rollout_request_received = [](const rollout_request&) {},
         .store_changed = [](bool) {},
         .record_unreadable = [](const operator_record&) {},
         .record_skipped =
             [this](const record_skipped& record) {
                 skipped.push_back(record);
             }}};

    void receive(const log_offset offset, const std::uint64_t version) {
        source.on_batch(
            {.through = offset, .records = {{.offset = offset, .key = "config", .payload = std::to_string(version)}}},
            time_sample{});
    }
};

log_offset offset(const std::uint32_t era, const std::uint32_t number) {
    return make_store_offset(store_era{era}, number);
}

} // namespace

BOOST_AUTO_TEST_SUITE(older_configuration)

// Guards against a configuration that goes back because the store returned from a copy with an older one, and against a
// record that has no effect without a line that says why.
BOOST_FIXTURE_TEST_CASE(configuration_of_an_older_copy_is_not_applied, fixture) {
    receive(offset(1, 9), 7);
    receive(offset(2, 6), 4);
    BOOST_TEST(applied == std::vector<std::uint64_t>{7}, boost::test_tools::per_element());
    BOOST_REQUIRE(skipped.size() == 1U);
    BOOST_TEST((skipped.front().reason == skip_reason::older_version));
    BOOST_TEST((skipped.front().offset == offset(2, 6)));
    BOOST_TEST((skipped.front().known_offset == offset(1, 9)));
    BOOST_TEST(skipped.front().version == 4U);
    BOOST_TEST(skipped.front().known_version == 7U);
    // The same version written again is known, the next one is applied under an offset below the lost one.
    receive(offset(2, 7), 7);
    receive(offset(2, 8), 9);
    BOOST_TEST(applied == (std::vector<std::uint64_t>{7, 9}), boost::test_tools::per_element());
    BOOST_TEST(skipped.size() == 1U);
}

// Guards against an outdated record of a peer that is passed over without a line.
BOOST_FIXTURE_TEST_CASE(outdated_record_of_the_same_history_is_reported, fixture) {
    receive(offset(1, 9), 7);
    receive(offset(1, 8), 6);
    BOOST_REQUIRE(skipped.size() == 1U);
    BOOST_TEST((skipped.front().reason == skip_reason::known_offset));
    BOOST_TEST((skipped.front().known_offset == offset(1, 9)));
}

// Guards against a node that gets no configuration, because its peer keeps a lost record without content.
BOOST_FIXTURE_TEST_CASE(lost_record_without_content_does_not_replace_a_later_one, fixture) {
    receive(offset(2, 6), 7);
    source.on_batch({.through = offset(1, 9), .records = {{.offset = offset(1, 9), .key = "config"}}}, time_sample{});
    source.on_pull({}, {});
    BOOST_REQUIRE(sent.records.size() == 1U);
    BOOST_TEST(sent.records.front().payload == "7");
}

BOOST_AUTO_TEST_SUITE_END()
