// Routes whose calls are distributed among services by weight.

#include "goldcrestwell/core/node/operator_source.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>
#include <map>
#include <string>
#include <vector>

using namespace goldcrestwell;

namespace {

constexpr int call_count = 300;

struct fixture {
    /** @brief Configuration of each version, as decoded from a record whose payload is the version. */
    std::map<std::string, routing_config> configs;
    int skipped{};
    operator_source source{
        {.hooks = {.read_newest = [] {},
                   .read_after = [](log_offset, std::chrono::milliseconds) {},
                   .decode = [this](const operator_record& record) -> std::optional<operator_document> {
                       const auto found = configs.find(record.payload);
                       return found == configs.end() ? std::nullopt : std::optional<operator_document>{found->second};
                   },
                   .read_statuses = [] {},
                   .write_status =
                       [](const rollout_status&, log_offset) {
                       }}},
        {.seed = 7,
         .rollouts = {.nodes = [] { return std::vector<node_id>{}; },
                      .count_upstreams = [](const service_name&, const upstream_version&) { return std::size_t{}; },
                      .service_of = [](node_id) { return service_name{}; },
                      .broadcast = [](const rollout_update&) {},
                      .send_evidence =
                          [](node_id, const evidence_report&) {
                          }},
         .send_pull = [](node_id, const document_pull&) {},
         .send_batch = [](node_id, const document_batch&) {},
         .is_nearby = [](node_id) { return true; },
         .reads_store_immediately = [] { return true; },
         .polls_store_briefly = [] { return false; },
         .has_recent_contact = [] { return true; },
         .config_changed = [](const routing_config&) {},
         .rollout_request_received = [](const rollout_request&) {},
         .store_changed = [](bool) {},
         .record_unreadable = [this](const operator_record&) { ++skipped; },
         .record_skipped =
             [](const record_skipped&) {
             }}};

    void apply(const std::uint64_t version, const std::vector<weighted_service>& services) {
        const auto text = std::to_string(version);
        configs[text] = {.version = version,
                         .routes = {{.name = {"r"}, .host = "a", .prefix = "/", .services = services}}};
        apply_record(version, text);
    }
    void apply_record(const std::uint64_t offset, const std::string& payload) {
        source.on_page({.outcome = read_outcome::ok,
                        .records = {{.offset = log_offset{offset}, .key = "config", .payload = payload}},
                        .end = log_offset{offset}},
                       time_sample{});
    }
    std::map<std::string, int> call(const int count) {
        std::map<std::string, int> calls;
        for (int i = 0; i < count; ++i) {
            const auto route = source.find_route({.host = "a", .target = "/x"});
            BOOST_REQUIRE(route.has_value());
            ++calls[route->service.value];
        }
        return calls;
    }
    void check_share(const std::map<std::string, int>& calls, const std::string& service, const double weight) {
        constexpr double max_difference = 0.1;
        const auto found = calls.find(service);
        const auto share = found == calls.end() ? 0.0 : static_cast<double>(found->second) / call_count;
        BOOST_TEST(std::abs(share - weight) <= max_difference, service << " got " << share << ", not " << weight);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(split_routes)

// The service is chosen without regard to its capacity, so calls that do not fit are refused there and not moved.
BOOST_FIXTURE_TEST_CASE(services_get_their_shares, fixture) {
    apply(1, {{.service = {"a"}, .weight = 70}, {.service = {"b"}, .weight = 25}, {.service = {"c"}, .weight = 5}});
    const auto calls = call(call_count);
    check_share(calls, "a", 0.7);
    check_share(calls, "b", 0.25);
    check_share(calls, "c", 0.05);
}

// Guards against shares that follow an older version after a change of the weights.
BOOST_FIXTURE_TEST_CASE(changed_weights_take_effect_at_once, fixture) {
    apply(1, {{.service = {"a"}, .weight = 9}, {.service = {"b"}, .weight = 1}});
    static_cast<void>(call(50));
    apply(2, {{.service = {"a"}, .weight = 1}, {.service = {"b"}, .weight = 3}});
    const auto calls = call(call_count);
    check_share(calls, "a", 0.25);
    check_share(calls, "b", 0.75);
    apply(3, {{.service = {"a"}, .weight = 0}, {.service = {"b"}, .weight = 1}});
    static_cast<void>(call(4));
    BOOST_TEST(call(call_count)["b"] == call_count);
}

// Guards against weights whose sum overflows.
BOOST_FIXTURE_TEST_CASE(huge_weights_are_shares_too, fixture) {
    constexpr auto max_weight = std::numeric_limits<std::uint32_t>::max();
    apply(1, {{.service = {"a"}, .weight = max_weight}, {.service = {"b"}, .weight = max_weight}});
    const auto calls = call(call_count);
    check_share(calls, "a", 0.5);
    check_share(calls, "b", 0.5);
}

// Guards against an unreadable configuration that replaces or ends the one in force.
BOOST_FIXTURE_TEST_CASE(unreadable_configuration_leaves_the_one_in_force, fixture) {
    apply(1, {{.service = {"a"}, .weight = 1}, {.service = {"b"}, .weight = 1}});
    apply_record(2, "unreadable");
    BOOST_TEST(skipped == 1);
    check_share(call(call_count), "a", 0.5);
    BOOST_TEST(source.config()->version == 1U);
}

// Guards against a draining node that refuses calls because of a long deadline, although their route ends them earlier.
BOOST_FIXTURE_TEST_CASE(timeout_of_a_call_is_that_of_its_route, fixture) {
    using std::chrono::milliseconds;
    configs["1"] = {.version = 1,
                    .routes = {{.name = {"r"}, .host = "a", .prefix = "/", .timeout = milliseconds{1'200}},
                               {.name = {"s"}, .host = "a", .prefix = "/s/"}}};
    apply_record(1, "1");
    BOOST_TEST((source.find_timeout({.host = "a", .target = "/x"}) == milliseconds{1'200}));
    BOOST_TEST(!source.find_timeout({.host = "a", .target = "/s/x"}).has_value());
    BOOST_TEST(!source.find_timeout({.host = "b", .target = "/x"}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
