#include "simulated_network.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace goldcrestwell;
using simulated::network;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t node_count = 36;
constexpr std::size_t region_count = 4;
constexpr std::size_t seed_count = 3;
constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t last_seed = 6;
/** Covers reconnect pings to members believed dead (30 s), suspicion time-outs and several exchanges. */
constexpr seconds healing_time{240};

std::pair<std::uint64_t, std::uint64_t> seed_range() {
    const char* text = std::getenv("GOLDCRESTWELL_SEEDS");
    if (text == nullptr) {
        return {first_seed, last_seed};
    }
    char* end = nullptr;
    const auto first = std::strtoull(text, &end, 10);
    return {first, *end == ':' ? std::strtoull(end + 1, nullptr, 10) : first};
}

/** One random history and its checks. */
class history {
public:
    explicit history(const std::uint64_t seed) : net_{node_count, region_count, seed_count, seed} {
        net_.network_faults = {.drop = 0.05, .duplicate = 0.05, .longest_delay = milliseconds{120}};
        net_.member_changed = [this](const std::size_t observer, const member& record) {
            auto& newest = seen_[{observer, net_.at(observer).run, record.id}];
            went_back_ += record.incarnation < newest ? 1U : 0U;
            newest = std::max(newest, record.incarnation);
        };
        for (std::size_t index = 0; index < node_count; ++index) {
            start(index);
        }
    }

    void run() {
        net_.run_for(seconds{30});
        for (int step = 0; step < 25; ++step) {
            disturb();
            net_.run_for(milliseconds{random(12'000)});
        }
        heal();
        net_.run_for(healing_time);
        check();
    }

private:
    std::size_t random(const std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>{0, limit - 1}(net_.random());
    }

    void start(const std::size_t index) {
        born_[index] = net_.now().steady;
        spent_[index] = net_.at(index).bytes;
        net_.start(index, &invariants_);
        net_.on(index, [&](membership& node) {
            node.announce({.service = {"orders"}, .version = {"v1"}, .slots = 10, .connections = 130}, net_.now());
        });
    }

    void check_budget(const std::size_t index) {
        const std::chrono::duration<double> age = net_.now().steady - born_[index];
        const auto bytes = static_cast<double>(net_.at(index).bytes - spent_[index]);
        BOOST_TEST(bytes <= 14'000.0 + 7000.0 * age.count());
    }

    void kill(const std::size_t index) {
        if (net_.at(index).node != nullptr) {
            check_budget(index);
            net_.kill(index);
        }
    }

    void disturb() {
        const auto index = random(node_count);
        switch (random(7)) {
        case 0:
            for (std::size_t place = index; place < node_count; place += 1 + random(6)) {
                kill(place);
            }
            break;
        case 1:
            for (std::size_t place = 0; place < node_count; ++place) {
                if (net_.at(place).node == nullptr) {
                    start(place);
                }
            }
            break;
        case 2:
            kill(index);
            start(index);
            break;
        case 3:
            net_.pause(index);
            break;
        case 4:
            resume_all();
            break;
        case 5:
            net_.cuts.insert(cut_pair());
            break;
        default:
            net_.cuts.clear();
            break;
        }
        if (net_.running(index) && random(3) == 0) {
            net_.on(index, [&](membership& node) { node.set_position(log_offset{++offset_}, net_.now()); });
        }
    }

    std::pair<region, region> cut_pair() {
        const region left{"region-" + std::to_string(random(region_count))};
        const region right{"region-" + std::to_string(random(region_count))};
        return std::minmax(left, right);
    }

    void resume_all() {
        for (std::size_t index = 0; index < node_count; ++index) {
            if (net_.at(index).node != nullptr && net_.at(index).paused) {
                net_.resume(index);
            }
        }
    }

    /** Ends loss too: a lost probe may raise a false suspicion right before the check. */
    void heal() {
        net_.cuts.clear();
        net_.network_faults.drop = 0;
        resume_all();
        for (std::size_t index = 0; index < node_count; index += 2) {
            if (net_.at(index).node == nullptr) {
                start(index);
            }
        }
    }

    void check() {
        std::vector<node_id> live;
        for (std::size_t index = 0; index < node_count; ++index) {
            if (net_.at(index).node != nullptr) {
                live.push_back(network::id(index));
            }
        }
        for (const auto id : live) {
            const auto index = network::place(id);
            auto& node = net_.node(index);
            BOOST_TEST((node.alive() == live),
                       "node " << index << " knows " << node.alive().size() << " of " << live.size() << " live nodes");
            BOOST_TEST((node.upstreams({"orders"}, {"v1"}) == live));
            for (const auto other : live) {
                const auto* record = node.find(other);
                BOOST_TEST((record != nullptr && *record == *net_.node(network::place(other)).find(other)));
            }
            check_budget(index);
            BOOST_TEST(net_.at(index).largest < 1200U);
        }
        BOOST_TEST(went_back_ == 0U);
        BOOST_TEST(invariants_.violations() == 0U);
    }

    network net_;
    invariant_monitor invariants_;
    std::map<std::tuple<std::size_t, std::uint64_t, node_id>, incarnation> seen_;
    std::map<std::size_t, steady_time> born_;
    std::map<std::size_t, std::uint64_t> spent_;
    std::size_t went_back_{};
    std::uint64_t offset_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(histories)

// Guards against nodes that disagree for good, live nodes that stay dead, facts that go back, and broken budgets.
BOOST_AUTO_TEST_CASE(random_histories_converge) {
    const auto [first, last] = seed_range();
    for (auto seed = first; seed <= last; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) {
            history{seed}.run();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
