// Time in which a change reaches every node while the store or some nodes fail.

#include "core/config/store_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using test::store_fleet;
using test::store_service;

namespace {

constexpr milliseconds warm_up{4'000};
// Longer than a long poll and the delay between two reads.
constexpr milliseconds poll_period{2'530};
constexpr milliseconds step{110};
constexpr milliseconds apply_time{2'000};
constexpr milliseconds contact_time{3'000};

using node_set = std::function<bool(const store_fleet&, std::size_t node)>;

/** @brief Calls a function for each moment of a long poll, with a different seed each time. */
void at_each_moment(const std::function<void(milliseconds begin, std::uint64_t seed)>& function) {
    std::uint64_t seed = 0;
    for (auto begin = warm_up; begin < warm_up + poll_period; begin += step) {
        function(begin, ++seed);
    }
}

void set_services(store_fleet& fleet, const node_set& nodes, const store_service service) {
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        if (nodes(fleet, node)) {
            fleet.set_service(node, service);
        }
    }
}

/** @brief Checks that a change is applied in time if the store does not serve some nodes from shortly before it on. */
void check_change_without_service(const std::string& name, const node_set& nodes) {
    for (const auto service : {store_service::refusing, store_service::resetting, store_service::silent}) {
        for (const auto lead : {milliseconds{}, milliseconds{700}, milliseconds{2'600}, milliseconds{6'000}}) {
            at_each_moment([&](const milliseconds begin, const std::uint64_t seed) {
                // In a small data centre every node is a reader.
                store_fleet fleet{{.seed = seed, .nodes_each = seed % 2 == 0 ? std::size_t{5} : std::size_t{3}}};
                fleet.run_for(begin);
                set_services(fleet, nodes, service);
                fleet.run_for(lead);
                fleet.change();
                fleet.run_for(apply_time);
                BOOST_TEST(fleet.outdated_nodes() == "", name << ", service " << static_cast<int>(service) << " from "
                                                              << begin.count() << " ms on, change after "
                                                              << lead.count() << " ms: outdated"
                                                              << fleet.outdated_nodes());
            });
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_fleet_reads)

// Guards against a change that is applied late without any fault.
BOOST_AUTO_TEST_CASE(change_reaches_all_nodes_in_time) {
    at_each_moment([](const milliseconds begin, const std::uint64_t seed) {
        store_fleet fleet{{.seed = seed, .data_centres = 3, .nodes_each = 7}};
        fleet.run_for(begin);
        fleet.change();
        fleet.run_for(apply_time);
        BOOST_TEST(fleet.outdated_nodes() == "", "change at " << begin.count() << " ms: " << fleet.outdated_nodes());
    });
}

// Guards against a node that the store does not serve and that does not follow the ones that it serves.
BOOST_AUTO_TEST_CASE(nodes_without_service_follow_the_others) {
    check_change_without_service("readers of a data centre", [](const store_fleet& fleet, const std::size_t node) {
        return fleet.data_centre_of(node) == 0 && fleet.is_reader(node);
    });
    check_change_without_service("data centre", [](const store_fleet& fleet, const std::size_t node) {
        return fleet.data_centre_of(node) == 0;
    });
    check_change_without_service("all but one reader",
                                 [](const store_fleet&, const std::size_t node) { return node != 1; });
    check_change_without_service(
        "standby nodes", [](const store_fleet& fleet, const std::size_t node) { return !fleet.is_reader(node); });
    check_change_without_service("one reader of each data centre",
                                 [](const store_fleet& fleet, const std::size_t node) {
                                     return node == 0 || fleet.data_centre_of(node) != fleet.data_centre_of(node - 1);
                                 });
}

// Guards against a change that is read late because answers to reads were lost.
BOOST_AUTO_TEST_CASE(change_is_applied_in_time_after_lost_answers) {
    constexpr double loss = 0.35;
    constexpr milliseconds lossy_time{4'500};
    for (const auto delay : {milliseconds{500}, milliseconds{2'500}, milliseconds{4'400}, milliseconds{6'000}}) {
        at_each_moment([&](const milliseconds begin, const std::uint64_t seed) {
            std::mt19937_64 random{seed};
            bool is_lossy = false;
            store_fleet fleet{{.seed = seed, .loses_answer = [&](std::size_t) {
                                   return is_lossy && std::bernoulli_distribution{loss}(random);
                               }}};
            fleet.run_for(begin);
            is_lossy = true;
            fleet.schedule_after(lossy_time, [&is_lossy] { is_lossy = false; });
            fleet.run_for(delay);
            fleet.change();
            fleet.run_for(std::max(apply_time, lossy_time + contact_time - delay));
            BOOST_TEST(fleet.outdated_nodes() == "", "loss from " << begin.count() << " ms on, change after "
                                                                  << delay.count() << " ms: outdated"
                                                                  << fleet.outdated_nodes());
        });
    }
}

// Guards against a node that notices the return of the store later than the contact time after it.
BOOST_AUTO_TEST_CASE(change_after_an_outage_is_applied_in_time) {
    for (const auto outage : {milliseconds{100}, milliseconds{500}, milliseconds{1'000}, milliseconds{1'300},
                              milliseconds{2'000}, milliseconds{4'500}, milliseconds{9'000}, milliseconds{22'000}}) {
        for (const auto delay : {milliseconds{10}, milliseconds{500}, milliseconds{1'500}, milliseconds{3'000}}) {
            at_each_moment([&](const milliseconds begin, const std::uint64_t seed) {
                store_fleet fleet{{.seed = seed}};
                const auto all_nodes = [](const store_fleet&, std::size_t) {
                    return true;
                };
                fleet.run_for(begin);
                set_services(fleet, all_nodes, store_service::silent);
                fleet.run_for(outage);
                set_services(fleet, all_nodes, store_service::normal);
                fleet.run_for(delay);
                fleet.change();
                fleet.run_for(std::max(apply_time, contact_time - delay));
                BOOST_TEST(fleet.outdated_nodes() == "",
                           "outage of " << outage.count() << " ms from " << begin.count() << " ms on, change "
                                        << delay.count() << " ms after it: outdated" << fleet.outdated_nodes());
            });
        }
    }
}

// Guards against a change that is read only after a further long poll, because the answers that contained it were lost.
// Nodes whose answers were not lost send it to the others without delay.
BOOST_AUTO_TEST_CASE(change_whose_answers_were_lost_is_applied_in_time) {
    for (const auto lost_nodes : {std::size_t{3}, std::size_t{5}, std::size_t{7}, std::size_t{10}}) {
        at_each_moment([&](const milliseconds begin, const std::uint64_t seed) {
            bool is_lost = false;
            store_fleet fleet{{.seed = seed, .loses_answer = [&](const std::size_t node) {
                                   return is_lost && node < lost_nodes;
                               }}};
            fleet.run_for(begin);
            is_lost = true;
            fleet.change();
            is_lost = false;
            fleet.run_for(lost_nodes < fleet.size() ? apply_time : apply_time + contact_time);
            BOOST_TEST(fleet.outdated_nodes() == "", "answers to " << lost_nodes << " nodes lost at " << begin.count()
                                                                   << " ms: outdated" << fleet.outdated_nodes());
        });
    }
}

// Guards against a change that is applied late because answers arrive late, but before their calls time out.
BOOST_AUTO_TEST_CASE(late_answers_do_not_delay_a_change_beyond_its_bound) {
    constexpr int max_delay = 1'400;
    at_each_moment([&](const milliseconds begin, const std::uint64_t seed) {
        std::mt19937_64 random{seed};
        store_fleet fleet{{.seed = seed, .answer_delay = [&](std::size_t) {
                               return milliseconds{std::uniform_int_distribution{0, max_delay}(random)};
                           }}};
        fleet.run_for(begin);
        fleet.change();
        fleet.run_for(apply_time);
        BOOST_TEST(fleet.outdated_nodes() == "", "change at " << begin.count() << " ms: " << fleet.outdated_nodes());
    });
}

// Guards against a reply to a pull that is lost and not requested again, in a data centre that the store does not
// serve.
BOOST_AUTO_TEST_CASE(lost_reply_to_a_pull_is_requested_again) {
    at_each_moment([](const milliseconds begin, const std::uint64_t seed) {
        std::vector<std::size_t> batches(6);
        store_fleet fleet{{.seed = seed,
                           .nodes_each = store_fleet::reader_count,
                           .loses_batch = [&batches](std::size_t, const std::size_t to) {
                               return ++batches[to] <= 2;
                           }}};
        fleet.run_for(begin);
        set_services(
            fleet, [](const store_fleet& all, const std::size_t node) { return all.data_centre_of(node) == 0; },
            store_service::refusing);
        fleet.run_for(contact_time);
        std::ranges::fill(batches, std::size_t{});
        fleet.change();
        fleet.run_for(apply_time);
        BOOST_TEST(batches[0] > 2U);
        BOOST_TEST(fleet.outdated_nodes() == "", "change at " << begin.count() << " ms: " << fleet.outdated_nodes());
    });
}

// Guards against a node without the store that waits for the reply of a peer that has ended or is suspended, although
// other peers have the records.
BOOST_AUTO_TEST_CASE(pull_from_a_silent_peer_is_sent_to_another_one) {
    for (const auto ends : {true, false}) {
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            store_fleet fleet{{.seed = seed, .nodes_each = store_fleet::reader_count}};
            fleet.run_for(warm_up);
            for (std::size_t node = 0; node < store_fleet::reader_count; ++node) {
                fleet.set_service(node, store_service::refusing);
            }
            fleet.run_for(milliseconds{3'000});
            fleet.change();
            fleet.run_for(milliseconds{20 + 2 * seed});
            const auto silent_node = store_fleet::reader_count + seed % store_fleet::reader_count;
            if (ends) {
                fleet.kill(silent_node);
            } else {
                fleet.pause(silent_node, milliseconds{5'000});
            }
            fleet.run_for(apply_time);
            BOOST_TEST(fleet.outdated_nodes() == "",
                       "seed " << seed << ", ended " << ends << ": outdated" << fleet.outdated_nodes());
        }
    }
}

// Guards against readers that wait for the rest of a long poll although its answer was lost. A change has to be applied
// within the contact time after a fault of the store.
BOOST_AUTO_TEST_CASE(change_whose_answers_were_all_lost_is_applied_within_the_contact_time) {
    for (auto begin = warm_up; begin < warm_up + milliseconds{2'530}; begin += milliseconds{110}) {
        bool is_lost = false;
        store_fleet fleet{{.loses_answer = [&is_lost](std::size_t) {
            return is_lost;
        }}};
        fleet.run_for(begin);
        is_lost = true;
        fleet.change();
        is_lost = false;
        fleet.run_for(contact_time);
        BOOST_TEST(fleet.outdated_nodes() == "",
                   "answers lost at " << begin.count() << " ms: outdated" << fleet.outdated_nodes());
    }
}

// Guards against a reader that stays behind, or keeps its data centre behind, after a suspension.
BOOST_AUTO_TEST_CASE(suspended_reader_delays_no_other_node) {
    constexpr milliseconds suspension{4'000};
    for (const auto delay : {milliseconds{10}, milliseconds{1'500}, milliseconds{3'500}}) {
        at_each_moment([&](const milliseconds begin, const std::uint64_t seed) {
            store_fleet fleet{{.seed = seed}};
            fleet.run_for(begin);
            fleet.pause(seed % store_fleet::reader_count, suspension);
            fleet.run_for(delay);
            fleet.change();
            fleet.run_for(apply_time);
            BOOST_TEST(fleet.outdated_nodes() == "", "suspended at " << begin.count() << " ms, change after "
                                                                     << delay.count() << " ms: outdated"
                                                                     << fleet.outdated_nodes());
            fleet.run_for(suspension + contact_time - delay - apply_time);
            BOOST_TEST(fleet.outdated_nodes() == "",
                       "suspended at " << begin.count() << " ms: outdated after it" << fleet.outdated_nodes());
        });
    }
}

BOOST_AUTO_TEST_SUITE_END()
