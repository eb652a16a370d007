#include "goldcrestwell/core/rollout/service_rollouts.hpp"

#include "goldcrestwell/core/common/rendezvous.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const service_name orders{"orders"};
const upstream_version old_version{"v1"};
const upstream_version new_version{"v2"};
constexpr seconds duration{15};

std::vector<node_id> ranked_nodes() {
    std::vector<node_id> nodes;
    for (std::uint32_t address = 1; address <= 5; ++address) {
        nodes.emplace_back(address, std::uint16_t{7000});
    }
    return rendezvous_order(stable_hash(orders.value), nodes);
}

/** @brief One node of five, by its rank in the order that decides about the service. */
struct fixture {
    explicit fixture(const std::size_t rank = 0, const bool knows_old_version = true)
        : rollouts{{.self = ranked_nodes()[rank],
                    .nodes = ranked_nodes,
                    .upstreams = [](const service_name&, const upstream_version&) { return std::size_t{4}; },
                    .service_of = [](node_id) { return orders; },
                    .broadcast = [this](const rollout_update& update) { broadcasts.push_back(update); },
                    .send_evidence = [](node_id, const evidence_report&) {},
                    .record_status =
                        [this](const rollout_status& status) {
                            statuses.push_back(status);
                        }}} {
        if (knows_old_version) {
            rollouts.on_upstream(orders, old_version, now);
        }
    }

    void order() {
        rollouts.on_order({.service = orders, .target = new_version, .duration = duration}, log_offset{3}, now);
    }

    /** @brief Lets time pass while both versions answer calls. */
    void run(const milliseconds time, const std::uint32_t failures_in_ten = 0) {
        constexpr milliseconds step{50};
        for (milliseconds passed{}; passed < time; passed += step) {
            now.steady += step;
            now.wall += step;
            report(old_version, 10, 0);
            if (share_of(rollouts.shares(orders, now.steady), new_version) > share{}) {
                report(new_version, 10, failures_in_ten);
            }
            if (rollouts.next_timer() && *rollouts.next_timer() <= now.steady) {
                rollouts.on_timer(now);
            }
        }
    }

    void report(const upstream_version& version, const std::uint32_t calls, const std::uint32_t failures) {
        evidence_window window{.row = {.route = {"r"}, .version = version}, .calls = calls, .failures = failures};
        window.latencies[10] = calls - failures;
        // The new version's calls go to two of its upstreams.
        const auto beside = version == new_version ? 3 + (++reports % 2) : 2;
        failures_reported += failures;
        rollouts.on_evidence({.from = ranked_nodes()[beside], .windows = {window}}, now);
    }

    /** @brief Shares of the new version while time passed. */
    struct share_span {
        share largest;
        share mean;
    };

    share_span shares_in(const milliseconds time) {
        constexpr milliseconds step{50};
        share largest;
        std::uint64_t sum = 0;
        for (milliseconds passed{}; passed < time; passed += step) {
            run(step);
            largest = std::max(largest, candidate_share());
            sum += candidate_share().value();
        }
        return {.largest = largest, .mean = share{static_cast<std::uint32_t>(sum / (time / step))}};
    }

    [[nodiscard]] share candidate_share() const { return share_of(rollouts.shares(orders, now.steady), new_version); }

    time_sample now{.steady = steady_time{seconds{1'000}}, .wall = wall_time{seconds{1'000'000}}};
    std::size_t reports{};
    std::size_t failures_reported{};
    std::vector<rollout_update> broadcasts;
    std::vector<rollout_status> statuses;
    service_rollouts rollouts;
};

} // namespace

BOOST_AUTO_TEST_SUITE(service_rollout)

// Guards against traffic to a version that nobody has ordered yet.
BOOST_AUTO_TEST_CASE(version_without_an_order_gets_nothing) {
    fixture node;
    node.rollouts.on_upstream(orders, new_version, node.now);
    BOOST_TEST((share_of(node.rollouts.shares(orders, node.now.steady), old_version) == full_share));
}

// Guards against a move that ends late or skips its trial.
BOOST_AUTO_TEST_CASE(good_version_is_tried_and_moved_in_time) {
    fixture node;
    node.order();
    node.run(seconds{1});
    // The share is small on average; in a burst it is larger.
    const auto trial = node.shares_in(seconds{6});
    BOOST_TEST((trial.mean > share{} && trial.mean <= share{100'000}));
    BOOST_TEST((trial.largest <= share{400'000}));
    BOOST_TEST((node.shares_in(seconds{8}).largest == full_share));
    BOOST_TEST((node.candidate_share() == full_share));
    BOOST_REQUIRE(!node.statuses.empty());
    BOOST_TEST((node.statuses.back().phase == rollout_phase::completed));
}

// Guards against a second decider that raises the stages at once: the difference of its unsigned rank and a shorter
// elapsed time wrapped round.
BOOST_AUTO_TEST_CASE(later_rank_waits_for_its_turn) {
    fixture node{1};
    node.order();
    node.run(milliseconds{300});
    BOOST_TEST((node.candidate_share() == share{}));
    BOOST_TEST((node.shares_in(seconds{3}).mean <= share{100'000}));
}

// Guards against a faulty version that keeps its share after its faults show.
BOOST_AUTO_TEST_CASE(failing_version_is_taken_back_within_a_second) {
    fixture node;
    node.order();
    node.run(seconds{2});
    // A version on trial is called in bursts, so its faults show with the next one.
    while (node.failures_reported == 0) {
        node.run(milliseconds{50}, 4);
    }
    node.run(seconds{1}, 4);
    BOOST_TEST((node.candidate_share() == share{}));
    BOOST_TEST(node.rollouts.withdrawn(orders, new_version));
    BOOST_TEST((node.statuses.back().phase == rollout_phase::rolled_back));
}

// Guards against a record that a lost answer of the store leaves out.
BOOST_AUTO_TEST_CASE(state_is_recorded_again_until_it_is_read_back) {
    fixture node;
    node.order();
    node.run(seconds{2}, 4);
    const auto asked = node.statuses.size();
    node.run(seconds{4});
    BOOST_TEST(node.statuses.size() > asked);
    node.rollouts.on_recorded(node.statuses.back(), node.now);
    const auto recorded = node.statuses.size();
    node.run(seconds{4});
    BOOST_TEST(node.statuses.size() == recorded);
}

// Guards against states that overtake their order on the way from another node.
BOOST_AUTO_TEST_CASE(state_that_comes_before_its_order_is_kept) {
    fixture node{4};
    node.rollouts.on_update(
        {.key = {.row = {.route = {orders.value}, .version = new_version}, .row_version = log_offset{3}},
         .state = {.stage = 2}},
        node.now);
    BOOST_TEST((node.candidate_share() == share{}));
    node.order();
    BOOST_TEST((node.candidate_share() > share{100'000}));
}

// Guards against a node that started between two orders and took the version that was taken back for the one in use:
// it refused half of its calls until that version's upstreams had gone, and then all of them.
BOOST_AUTO_TEST_CASE(newcomer_learns_which_version_was_taken_back) {
    const upstream_version third_version{"v3"};
    fixture veteran;
    veteran.order();
    veteran.run(seconds{3}, 5);
    BOOST_REQUIRE(veteran.rollouts.withdrawn(orders, new_version));
    const auto order_third = [&third_version](fixture& node) {
        node.rollouts.on_order({.service = orders, .target = third_version, .duration = duration}, log_offset{9},
                               node.now);
    };
    order_third(veteran);

    fixture newcomer{4, false};
    order_third(newcomer);
    newcomer.rollouts.on_upstream(orders, new_version, newcomer.now);
    newcomer.rollouts.on_upstream(orders, old_version, newcomer.now);
    for (const auto& update : veteran.rollouts.rollouts()) {
        newcomer.rollouts.on_update(update, newcomer.now);
    }
    newcomer.rollouts.on_upstream(orders, old_version, newcomer.now);
    BOOST_TEST(newcomer.rollouts.withdrawn(orders, new_version));
    BOOST_TEST((share_of(newcomer.rollouts.shares(orders, newcomer.now.steady), old_version) == full_share));
}

BOOST_AUTO_TEST_SUITE_END()
