#include "goldcrestwell/core/membership/node_directory.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;

namespace {

constexpr node_id self{0x0A000001, 7000};
constexpr node_id other{0x0A000002, 7000};

struct fixture {
    int reads{};
    int writes{};
    bool isolated{};
    bool urgent{};
    std::vector<node_id> discovered;
    node_directory directory{{.self = self,
                              .seed = 1,
                              .write_node_entry = [this] { ++writes; },
                              .read_node_directory = [this] { ++reads; },
                              .is_isolated = [this] { return isolated; },
                              .is_urgent = [this] { return urgent; },
                              .nodes_discovered =
                                  [this](std::vector<node_id> nodes) {
                                      discovered = std::move(nodes);
                                  }}};
    steady_time now{std::chrono::seconds{10}};

    void advance(const milliseconds time) {
        now += time;
        directory.on_timer(now);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(node_directory_calls)

// Load: a third of the nodes restart one after the other. Guards against a write for each restart.
BOOST_FIXTURE_TEST_CASE(restarted_node_calls_the_store_once, fixture) {
    directory.start();
    directory.on_node_directory_read(std::vector{self, other}, now);
    for (int i = 0; i < 60; ++i) {
        advance(milliseconds{1'000});
    }
    BOOST_TEST(reads == 1);
    BOOST_TEST(writes == 0);
    BOOST_TEST((discovered == std::vector{self, other}));
}

BOOST_FIXTURE_TEST_CASE(new_node_adds_its_entry, fixture) {
    directory.start();
    BOOST_TEST(writes == 0);
    directory.on_node_directory_read(std::vector{other}, now);
    BOOST_TEST(writes == 1);
    directory.on_written(true, now);
    advance(milliseconds{10'000});
    BOOST_TEST(reads == 1);
    BOOST_TEST(writes == 1);
}

// Guards against a node that stays unknown because the store refused it or its response was lost.
BOOST_FIXTURE_TEST_CASE(failed_calls_are_repeated, fixture) {
    isolated = true;
    directory.start();
    directory.on_node_directory_read(std::nullopt, now);
    advance(milliseconds{1'000});
    BOOST_TEST(reads == 2);
    directory.on_node_directory_read(std::vector<node_id>{}, now);
    directory.on_written(false, now);
    advance(milliseconds{1'000});
    BOOST_TEST(writes == 2);
    directory.on_written(true, now);
    isolated = false;
    advance(milliseconds{10'000});
    BOOST_TEST(writes == 2);
}

// Load: rolling restarts while the store refuses every call. Guards against calls of all restarted nodes each second,
// although their peers have found them.
BOOST_FIXTURE_TEST_CASE(connected_node_repeats_failed_calls_rarely, fixture) {
    directory.start();
    for (int second = 0; second < 20; ++second) {
        const auto reads_before = reads;
        advance(milliseconds{1'000});
        if (second == 0 || reads != reads_before) {
            directory.on_node_directory_read(std::nullopt, now);
        }
    }
    BOOST_TEST(reads <= 5);
    BOOST_TEST(reads >= 2);
}

// Guards against a departure that is not acknowledged for seconds, because the read before its record is not repeated.
BOOST_FIXTURE_TEST_CASE(failed_read_is_repeated_soon_while_it_is_waited_for, fixture) {
    urgent = true;
    directory.start();
    directory.on_node_directory_read(std::nullopt, now);
    advance(milliseconds{150});
    BOOST_TEST(reads == 2);
    directory.on_node_directory_read(std::nullopt, now);
    urgent = false;
    advance(milliseconds{1'000});
    directory.on_node_directory_read(std::nullopt, now);
    advance(milliseconds{4'000});
    BOOST_TEST(reads == 3);
}

// Guards against two nodes that start at the same moment and find each other seconds later.
BOOST_FIXTURE_TEST_CASE(isolated_new_node_reads_again_soon, fixture) {
    isolated = true;
    directory.start();
    directory.on_node_directory_read(std::vector<node_id>{}, now);
    directory.on_written(true, now);
    advance(milliseconds{200});
    BOOST_TEST(reads == 2);
}

BOOST_FIXTURE_TEST_CASE(isolated_node_reads_again, fixture) {
    isolated = true;
    directory.start();
    directory.on_node_directory_read(std::vector{self}, now);
    advance(milliseconds{2'000});
    BOOST_TEST(reads == 2);
}

// Guards against two groups of nodes that never find each other: all nodes start within 0.3 s, in any order, and their
// calls overlap. A node knows whom it discovered and who discovered it.
BOOST_AUTO_TEST_CASE(nodes_that_start_together_form_one_cluster) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random{seed};
        constexpr std::uint32_t node_count = 12;
        std::set<node_id> entries;
        std::map<node_id, std::set<node_id>> links;
        std::multimap<steady_time, std::pair<node_id, bool>> calls;
        std::map<node_id, std::unique_ptr<node_directory>> nodes;
        steady_time now{};
        const auto delay = [&random] {
            return milliseconds{std::uniform_int_distribution<int>{0, 300}(random)};
        };
        for (std::uint32_t i = 1; i <= node_count; ++i) {
            const node_id id{i, 7000};
            nodes[id] = std::make_unique<node_directory>(
                node_directory_options{.self = id,
                                       .seed = seed + i,
                                       .write_node_entry =
                                           [&, id] {
                                               calls.insert({now + delay(), {id, true}});
                                           },
                                       .read_node_directory =
                                           [&, id] {
                                               calls.insert({now + delay(), {id, false}});
                                           },
                                       .is_isolated = [&, id] { return links[id].empty(); },
                                       .is_urgent = [] { return false; },
                                       .nodes_discovered =
                                           [&, id](const std::vector<node_id>& found) {
                                               for (const auto peer : found) {
                                                   if (peer != id) {
                                                       links[id].insert(peer);
                                                       links[peer].insert(id);
                                                   }
                                               }
                                           }});
            nodes[id]->start();
        }
        for (int step = 0; step < 1'000; ++step) {
            now += milliseconds{10};
            while (!calls.empty() && calls.begin()->first <= now) {
                const auto [id, is_write] = calls.extract(calls.begin()).mapped();
                if (is_write) {
                    entries.insert(id);
                    nodes[id]->on_written(true, now);
                } else {
                    nodes[id]->on_node_directory_read(std::vector<node_id>{entries.begin(), entries.end()}, now);
                }
            }
            for (const auto& [id, directory] : nodes) {
                directory->on_timer(now);
            }
        }
        std::set<node_id> reached{nodes.begin()->first};
        std::vector<node_id> pending{nodes.begin()->first};
        while (!pending.empty()) {
            const auto id = pending.back();
            pending.pop_back();
            for (const auto peer : links[id]) {
                if (reached.insert(peer).second) {
                    pending.push_back(peer);
                }
            }
        }
        BOOST_TEST(reached.size() == node_count, "seed " << seed);
    }
}

// Guards against an entry that stays lost after the store has returned from an older copy.
BOOST_FIXTURE_TEST_CASE(lost_entry_is_written_again, fixture) {
    directory.start();
    directory.on_node_directory_read(std::vector{self, other}, now);
    directory.on_history_replaced(now);
    advance(milliseconds{2'000});
    BOOST_TEST(reads == 2);
    BOOST_TEST(writes == 0);
    directory.on_node_directory_read(std::vector{other}, now);
    BOOST_TEST(writes == 1);
    directory.on_written(true, now);
    for (int i = 0; i < 60; ++i) {
        advance(milliseconds{1'000});
    }
    BOOST_TEST(reads == 2);
    BOOST_TEST(writes == 1);
}

// Guards against writes of all nodes if the copy holds their entries.
BOOST_FIXTURE_TEST_CASE(entry_of_the_copy_is_not_written_again, fixture) {
    directory.start();
    directory.on_node_directory_read(std::vector{self, other}, now);
    directory.on_history_replaced(now);
    advance(milliseconds{2'000});
    directory.on_node_directory_read(std::vector{self, other}, now);
    advance(milliseconds{10'000});
    BOOST_TEST(reads == 2);
    BOOST_TEST(writes == 0);
}

// Guards against a check that peers, which report the later history with each position, postpone or multiply.
BOOST_FIXTURE_TEST_CASE(repeated_reports_of_a_replaced_history_cause_one_read, fixture) {
    directory.start();
    directory.on_node_directory_read(std::vector{self, other}, now);
    directory.on_history_replaced(now);
    const auto due = directory.next_timer();
    for (int i = 0; i < 40; ++i) {
        directory.on_history_replaced(now);
        if (reads == 1) {
            BOOST_TEST((directory.next_timer() == due));
        }
        advance(milliseconds{50});
    }
    BOOST_TEST(reads == 2);
    directory.on_node_directory_read(std::vector{self, other}, now);
    advance(milliseconds{10'000});
    BOOST_TEST(reads == 2);
}

// Guards against a write of the replaced history that is taken for an entry in the present one.
BOOST_FIXTURE_TEST_CASE(write_that_was_in_flight_does_not_count_as_an_entry, fixture) {
    directory.start();
    directory.on_node_directory_read(std::vector{other}, now);
    directory.on_history_replaced(now);
    directory.on_written(true, now);
    advance(milliseconds{2'000});
    directory.on_node_directory_read(std::vector{other}, now);
    BOOST_TEST(writes == 2);
}

// Guards against a read of the replaced history that is taken for the check, and against a timer that stays due
// meanwhile.
BOOST_FIXTURE_TEST_CASE(check_waits_for_the_end_of_an_earlier_read, fixture) {
    isolated = true;
    directory.start();
    directory.on_node_directory_read(std::vector{self, other}, now);
    advance(milliseconds{2'000});
    BOOST_TEST(reads == 2);
    isolated = false;
    directory.on_history_replaced(now);
    advance(milliseconds{2'000});
    BOOST_TEST(reads == 2);
    BOOST_TEST(!directory.next_timer().has_value());
    directory.on_node_directory_read(std::vector{self, other}, now);
    advance(milliseconds{0});
    BOOST_TEST(reads == 3);
    directory.on_node_directory_read(std::vector{other}, now);
    BOOST_TEST(writes == 1);
}

BOOST_FIXTURE_TEST_CASE(failed_check_is_repeated, fixture) {
    directory.start();
    directory.on_node_directory_read(std::vector{self, other}, now);
    directory.on_history_replaced(now);
    advance(milliseconds{2'000});
    directory.on_node_directory_read(std::nullopt, now);
    directory.on_history_replaced(now);
    advance(milliseconds{2'000});
    BOOST_TEST(reads == 3);
    directory.on_node_directory_read(std::nullopt, now);
    advance(milliseconds{10'000});
    BOOST_TEST(reads == 4);
    BOOST_TEST(writes == 0);
}

BOOST_FIXTURE_TEST_CASE(replaced_history_does_not_add_a_call_before_the_first_read, fixture) {
    directory.on_history_replaced(now);
    advance(milliseconds{10'000});
    BOOST_TEST(reads == 0);
    directory.start();
    directory.on_history_replaced(now);
    directory.on_node_directory_read(std::vector{self}, now);
    advance(milliseconds{10'000});
    BOOST_TEST(reads == 1);
}

BOOST_AUTO_TEST_SUITE_END()
