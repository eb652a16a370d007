#include "goldcrestwell/core/node/departure_lookup.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <utility>

using namespace goldcrestwell;
using std::chrono::milliseconds;

namespace {

constexpr node_id first{1, 7000};
constexpr node_id second{2, 7000};
constexpr node_id third{3, 7000};
const upstream_departure left{.id = "u-1", .started = wall_time{milliseconds{100}}};

struct fixture {
    std::vector<node_id> peers{first, second};
    std::vector<node_id> queries;
    std::vector<std::vector<node_id>> reads;
    std::vector<std::pair<node_id, std::vector<upstream_departure>>> answers;
    departure_lookup lookup{{.seed = 1,
                             .peers = [this] { return peers; },
                             .send_query = [this](const node_id to) { queries.push_back(to); },
                             .send_answer =
                                 [this](const node_id to, const std::vector<upstream_departure>& departures) {
                                     answers.emplace_back(to, departures);
                                 },
                             .read =
                                 [this](const std::vector<node_id>& hosts) {
                                     reads.push_back(hosts);
                                 }}};
    steady_time now{std::chrono::seconds{10}};

    void advance(const milliseconds time) {
        for (const auto end = now + time; now < end;) {
            now += milliseconds{10};
            lookup.on_timer(now);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(departure_lookups, fixture)

// Load: all nodes restart. Guards against a read by a peer for each of them while the store serves them.
BOOST_AUTO_TEST_CASE(node_that_reads_the_store_asks_nobody) {
    lookup.start(now);
    advance(milliseconds{390});
    lookup.stop();
    advance(milliseconds{5'000});
    BOOST_TEST(queries.empty());
}

// Guards against an upstream that stays out of use for seconds because the store refuses its node, also if it refuses
// the first peer that is asked, or if no peer is known yet.
BOOST_AUTO_TEST_CASE(peers_are_asked_until_the_departures_are_known) {
    lookup.start(now);
    peers.clear();
    lookup.on_own_read_failed(now);
    advance(milliseconds{300});
    BOOST_TEST(queries.empty());
    peers = {first, second, third};
    advance(milliseconds{3'000});
    BOOST_TEST(queries.size() == 10U);
    for (const auto peer : peers) {
        BOOST_TEST((std::ranges::find(queries, peer) != queries.end()));
    }
    lookup.stop();
    advance(milliseconds{3'000});
    BOOST_TEST(queries.size() == 10U);
    lookup.on_own_read_failed(now);
    BOOST_TEST(!lookup.next_timer().has_value());
}

// Guards against an answer from a read that was sent before the query arrived: a departure may have been recorded
// since. Load: many nodes restart; guards against a read for each of them.
BOOST_AUTO_TEST_CASE(query_during_a_read_waits_for_the_next_one) {
    lookup.on_query(first, now);
    lookup.on_query(second, now);
    lookup.on_query(third, now);
    lookup.on_query(second, now);
    BOOST_TEST((reads == std::vector<std::vector<node_id>>{{first}}));
    lookup.on_read(std::vector{host_departures{.node = first, .departures = {left}}});
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0].first == first));
    BOOST_TEST((answers[0].second == std::vector{left}));
    BOOST_TEST(reads.size() == 1U);
    advance(milliseconds{100});
    BOOST_TEST((reads == std::vector<std::vector<node_id>>{{first}, {second, third}}));
    lookup.on_read(std::nullopt);
    BOOST_TEST(answers.size() == 1U);
    BOOST_TEST(reads.size() == 2U);
    advance(milliseconds{100});
    lookup.on_query(first, now);
    BOOST_TEST(reads.size() == 3U);
}

// Guards against memory that grows with the number of nodes while the store does not respond.
BOOST_AUTO_TEST_CASE(number_of_waiting_peers_is_bounded) {
    for (std::uint32_t number = 1; number <= 1'000; ++number) {
        lookup.on_query({number, 7000}, now);
    }
    lookup.on_read(std::nullopt);
    advance(milliseconds{100});
    BOOST_REQUIRE(reads.size() == 2U);
    BOOST_TEST(reads[1].size() == 64U);
}

// Guards against calls to the store without end, because a peer asks without end.
BOOST_AUTO_TEST_CASE(reads_for_peers_are_bounded) {
    for (int query = 0; query < 1'000; ++query) {
        lookup.on_query(first, now);
        lookup.on_read(std::nullopt);
        advance(milliseconds{10});
    }
    BOOST_TEST(reads.size() <= 101U);
}

BOOST_AUTO_TEST_SUITE_END()
