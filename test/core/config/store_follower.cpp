#include "goldcrestwell/core/config/store_follower.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;

namespace {

struct fixture {
    int newest_reads{};
    std::vector<log_offset> reads;
    std::vector<milliseconds> waits;
    std::vector<bool> reachable;
    bool reads_immediately{true};
    bool has_recent_peer_data{};
    bool expects_peer_records{};
    milliseconds max_peer_wait{};
    store_follower follower{{.seed = 1,
                             .max_standby_read_interval = milliseconds{1'400},
                             .max_peer_wait = max_peer_wait,
                             .expects_peer_records = [this] { return expects_peer_records; },
                             .reads_immediately = [this] { return reads_immediately; },
                             .has_recent_peer_data = [this] { return has_recent_peer_data; },
                             .read_newest = [this] { ++newest_reads; },
                             .read_after =
                                 [this](const log_offset after, const milliseconds wait) {
                                     reads.push_back(after);
                                     waits.push_back(wait);
                                 },
                             .page_received = [](const store_page&) {},
                             .reachable_changed =
                                 [this](const bool is_reachable) {
                                     reachable.push_back(is_reachable);
                                 }}};
    steady_time now{std::chrono::seconds{10}};

    void finish_read(const read_outcome outcome, const std::uint64_t end = 0) {
        store_page page{.outcome = outcome, .end = log_offset{end}};
        if (outcome == read_outcome::ok) {
            page.records.push_back({.offset = log_offset{end}, .key = "a", .payload = "b"});
        }
        follower.on_page(page, now);
    }
    void advance(const milliseconds time) {
        for (const auto end = now + time; now < end;) {
            now += milliseconds{10};
            follower.on_timer(now);
        }
    }
    void advance_time() {
        now += milliseconds{2'000};
        follower.on_timer(now);
    }
};

// Store that loses the responses to all reads that arrive or would be answered during an outage. It holds one record
// from the start and another one later. Times are relative to the start of the node.
struct silent_store {
    static constexpr log_offset first_end{1};
    static constexpr log_offset changed_end{2};
    static constexpr milliseconds latency{10};
    static constexpr milliseconds call_timeout{1'500};

    milliseconds outage_begin{};
    milliseconds outage_end{};
    milliseconds changed_at{};
    bool change_received{};
    milliseconds now{};
    log_offset after_position;
    std::optional<milliseconds> responds_at;
    bool is_response_lost{};

    void run_for(const milliseconds duration) {
        constexpr steady_time start{std::chrono::hours{1}};
        store_follower follower{
            {.seed = 1,
             .read_newest = [this] { read(log_offset{}, {}); },
             .read_after = [this](const log_offset after, const milliseconds wait) { read(after, wait); },
             .page_received =
                 [this](const store_page& page) { change_received = change_received || page.end == changed_end; },
             .reachable_changed =
                 [](bool) {
                 }}};
        follower.start(start);
        for (; now <= duration; now += milliseconds{10}) {
            if (responds_at && now >= *responds_at) {
                responds_at.reset();
                follower.on_page(response(), start + now);
            }
            follower.on_timer(start + now);
        }
    }

    [[nodiscard]] bool is_silent_at(const milliseconds time) const { return time >= outage_begin && time < outage_end; }
    void read(const log_offset after, const milliseconds wait) {
        after_position = after;
        auto answered_at = now + latency + (after == log_offset{} ? milliseconds{} : wait);
        if (after == first_end) {
            answered_at = std::min(answered_at, std::max(changed_at, now) + latency);
        }
        is_response_lost = is_silent_at(now) || is_silent_at(answered_at);
        responds_at = is_response_lost ? now + wait + call_timeout : answered_at;
    }
    [[nodiscard]] store_page response() const {
        if (is_response_lost) {
            return {.outcome = read_outcome::failed};
        }
        const auto end = now >= changed_at ? changed_end : first_end;
        store_page page{.outcome = read_outcome::ok, .end = end};
        if (after_position < end) {
            page.records.push_back({.offset = end, .key = "a", .payload = "b"});
        }
        return page;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_follower_reads)

// Guards against a position that decreases because a stale replica returns an earlier end.
BOOST_AUTO_TEST_CASE(reads_continue_at_the_highest_position) {
    fixture node;
    node.follower.start(node.now);
    node.finish_read(read_outcome::ok, 7);
    node.finish_read(read_outcome::ok, 5);
    BOOST_TEST((node.reads == std::vector{log_offset{7}, log_offset{7}}));
}

// Guards against a node that waits for records that have expired from the store.
BOOST_AUTO_TEST_CASE(newest_records_are_read_after_expiry) {
    fixture node;
    node.follower.start(node.now);
    node.finish_read(read_outcome::ok, 7);
    node.finish_read(read_outcome::expired);
    node.advance_time();
    BOOST_TEST(node.newest_reads == 2);
}

// Guards against a node that floods an unavailable store with reads, or stops reading from it.
BOOST_AUTO_TEST_CASE(failed_reads_are_retried_after_a_delay) {
    fixture node;
    node.follower.start(node.now);
    node.finish_read(read_outcome::failed);
    node.follower.on_timer(node.now);
    BOOST_TEST(node.newest_reads == 1);
    node.advance_time();
    BOOST_TEST(node.newest_reads == 2);
    node.finish_read(read_outcome::ok, 1);
    BOOST_TEST((node.reachable == std::vector{true}));
    node.finish_read(read_outcome::failed);
    BOOST_TEST((node.reachable == std::vector{true, false}));
}

// Guards against a node that waits for a long poll that an unresponsive store will never answer, and so does not notice
// that the store is back.
BOOST_AUTO_TEST_CASE(failed_read_is_repeated_without_waiting) {
    fixture node;
    node.follower.start(node.now);
    node.finish_read(read_outcome::ok, 1);
    BOOST_TEST((node.waits == std::vector{default_store_long_poll}));
    node.finish_read(read_outcome::failed);
    node.advance_time();
    node.finish_read(read_outcome::failed);
    node.follower.on_store_contact();
    node.advance_time();
    BOOST_REQUIRE(node.waits.size() == 3U);
    BOOST_TEST((node.waits[1] == milliseconds{}));
    BOOST_TEST((node.waits[2] == milliseconds{}));
    node.finish_read(read_outcome::ok, 2);
    BOOST_TEST((node.waits.back() == default_store_long_poll));
}

// Guards against a change that is not applied for 20 s after an outage, because every reader waits for the response to
// a long poll that was lost in it. The outage begins at any moment of a long poll.
BOOST_AUTO_TEST_CASE(change_after_an_outage_of_any_length_is_read_in_time) {
    constexpr milliseconds step{10};
    constexpr milliseconds contact_time{3'000};
    constexpr milliseconds apply_time{2'000};
    for (const auto outage : {milliseconds{100}, milliseconds{1'000}, milliseconds{4'500}, milliseconds{22'000}}) {
        for (auto begin = milliseconds{}; begin < std::chrono::seconds{25}; begin += step) {
            silent_store store{.outage_begin = begin, .outage_end = begin + outage};
            store.changed_at = store.outage_end + contact_time;
            store.run_for(store.changed_at + apply_time);
            BOOST_TEST_REQUIRE(store.change_received,
                               "outage of " << outage.count() << " ms that began at " << begin.count() << " ms");
        }
    }
}

// Load: a series of changes, five per second, read by eighty nodes. Guards against a read from the store for each
// change and node, and against a standby node that receives a change later than after two seconds.
BOOST_AUTO_TEST_CASE(standby_node_needs_few_reads_for_a_series_of_changes) {
    fixture node;
    node.reads_immediately = false;
    node.follower.start(node.now);
    node.finish_read(read_outcome::ok, 1);
    constexpr milliseconds step{200};
    std::uint64_t end = 1;
    auto last_read = node.now;
    for (int change = 0; change < 25; ++change) {
        node.now += step;
        ++end;
        const auto before = node.reads.size();
        node.follower.on_timer(node.now);
        if (node.reads.size() != before) {
            BOOST_TEST((node.now - last_read < milliseconds{2'000}));
            last_read = node.now;
            node.finish_read(read_outcome::ok, end);
        }
    }
    BOOST_TEST(node.reads.size() <= 8U);
    BOOST_TEST(node.reads.size() >= 3U);
}

// Load: single changes, each of which would end the long poll of every node. Guards against a read from the store for
// each change and standby node, and against a standby node that lost contact to its peers and does not read within two
// seconds.
BOOST_AUTO_TEST_CASE(standby_node_reads_only_without_data_from_peers) {
    fixture node;
    node.reads_immediately = false;
    node.has_recent_peer_data = true;
    node.follower.start(node.now);
    node.finish_read(read_outcome::ok, 1);
    for (int second = 0; second < 60; ++second) {
        node.now += milliseconds{1'000};
        node.follower.on_timer(node.now);
    }
    BOOST_TEST(node.reads.empty());
    node.has_recent_peer_data = false;
    node.now += milliseconds{1'000};
    node.follower.on_timer(node.now);
    BOOST_TEST(node.reads.size() == 1U);
}

// Guards against a node that leaves standby to read for its data centre, but does not read.
BOOST_AUTO_TEST_CASE(node_reads_once_it_leaves_standby) {
    fixture node;
    node.reads_immediately = false;
    node.has_recent_peer_data = true;
    node.follower.start(node.now);
    node.finish_read(read_outcome::ok, 1);
    node.advance_time();
    BOOST_TEST(node.reads.empty());
    node.reads_immediately = true;
    node.advance_time();
    BOOST_TEST(node.reads.size() == 1U);
}

// Guards against a standby node that reads records again that a peer has already sent.
BOOST_AUTO_TEST_CASE(standby_node_continues_after_records_from_a_peer) {
    fixture node;
    node.reads_immediately = false;
    node.follower.start(node.now);
    node.finish_read(read_outcome::ok, 4);
    node.follower.advance_to(log_offset{9});
    node.advance_time();
    BOOST_REQUIRE(!node.reads.empty());
    BOOST_TEST((node.reads.back() == log_offset{9}));
}

// Load: a rolling restart of hundreds of nodes. Guards against reads of documents that the peers of each node have.
BOOST_AUTO_TEST_CASE(restarted_node_takes_the_first_records_from_a_peer) {
    fixture node{.reads_immediately = false, .expects_peer_records = true, .max_peer_wait = milliseconds{900}};
    node.follower.start(node.now);
    node.advance(milliseconds{500});
    node.has_recent_peer_data = true;
    node.expects_peer_records = false;
    node.follower.advance_to(log_offset{9});
    node.advance(milliseconds{30'000});
    BOOST_TEST(node.newest_reads == 0);
    BOOST_TEST(node.reads.empty());
    node.reads_immediately = true;
    node.advance(milliseconds{1'000});
    BOOST_TEST((node.reads == std::vector{log_offset{9}}));
}

// Load: the whole fleet loses power and has no documents. Guards against a read by every node, and against a node that
// waits although it is to read for the others or its peers have nothing.
BOOST_AUTO_TEST_CASE(fleet_without_records_is_read_by_few_nodes) {
    fixture reader{.max_peer_wait = milliseconds{900}};
    reader.follower.start(reader.now);
    reader.advance(milliseconds{450});
    BOOST_TEST(reader.newest_reads == 1);
    fixture standby{.reads_immediately = false, .max_peer_wait = milliseconds{900}};
    standby.follower.start(standby.now);
    standby.advance(milliseconds{800});
    BOOST_TEST(standby.newest_reads == 0);
    standby.advance(milliseconds{200});
    BOOST_TEST(standby.newest_reads == 1);
}

BOOST_AUTO_TEST_SUITE_END()
