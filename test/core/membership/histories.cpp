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
constexpr std::size_t join_seed_count = 3;
constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t last_seed = 6;
/** Covers reconnect pings to members recorded as dead (30 s), suspicion time-outs and several exchanges. */
constexpr seconds convergence_time{240};

std::pair<std::uint64_t, std::uint64_t> seed_range() {
    const char* text = std::getenv("GOLDCRESTWELL_SEEDS");
    if (text == nullptr) {
        return {first_seed, last_seed};
    }
    char* end = nullptr;
    const auto first = std::strtoull(text, &end, 10);
    return {first, *end == ':' ? std::strtoull(end + 1, nullptr, 10) : first};
}

/** Runs one random sequence of faults and checks that all nodes converge afterwards. */
class history {
public:
    explicit history(const std::uint64_t seed) : net_{node_count, region_count, join_seed_count, seed} {
        net_.network_faults = {.drop = 0.05, .duplicate = 0.05, .max_delay = milliseconds{120}};
        net_.member_changed = [this](const std::size_t observer, const member& record) {
            auto& last_incarnation = last_incarnations_[{observer, net_.at(observer).run_number, record.id}];
            decreased_incarnations_ += record.incarnation < last_incarnation ? 1U : 0U;
            last_incarnation = std::max(last_incarnation, record.incarnation);
        };
        for (std::size_t index = 0; index < node_count; ++index) {
            start(index);
        }
    }

    void run() {
        net_.run_for(seconds{30});
        for (int step = 0; step < 25; ++step) {
            inject_fault();
            net_.run_for(milliseconds{random(12'000)});
        }
        end_faults();
        net_.run_for(convergence_time);
        check();
    }

private:
    std::size_t random(const std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>{0, limit - 1}(net_.random());
    }

    void start(const std::size_t index) {
        start_times_[index] = net_.now().steady;
        bytes_at_start_[index] = net_.at(index).bytes_sent;
        net_.start(index, &invariants_);
        net_.invoke(index, [&](membership& node) {
            node.announce({.service = {"orders"}, .version = {"v1"}, .slots = 10, .connections = 130}, net_.now());
        });
    }

    void check_budget(const std::size_t index) {
        const std::chrono::duration<double> uptime = net_.now().steady - start_times_[index];
        const auto bytes = static_cast<double>(net_.at(index).bytes_sent - bytes_at_start_[index]);
        BOOST_TEST(bytes <= 14'000.0 + 7000.0 * uptime.count());
    }

    void kill(const std::size_t index) {
        if (net_.at(index).node != nullptr) {
            check_budget(index);
            net_.kill(index);
        }
    }

    void inject_fault() {
        const auto index = random(node_count);
        switch (random(7)) {
        case 0:
            for (std::size_t other = index; other < node_count; other += 1 + random(6)) {
                kill(other);
            }
            break;
        case 1:
            for (std::size_t other = 0; other < node_count; ++other) {
                if (net_.at(other).node == nullptr) {
                    start(other);
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
            net_.partitions.insert(random_region_pair());
            break;
        default:
            net_.partitions.clear();
            break;
        }
        if (net_.running(index) && random(3) == 0) {
            net_.invoke(index, [&](membership& node) { node.set_position(log_offset{++offset_}, net_.now()); });
        }
    }

    std::pair<region, region> random_region_pair() {
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

    /** Ends partitions, pauses and packet loss, because a lost probe can cause a false suspicion before the check. */
    void end_faults() {
        net_.partitions.clear();
        net_.network_faults.drop = 0;
        resume_all();
        for (std::size_t index = 0; index < node_count; index += 2) {
            if (net_.at(index).node == nullptr) {
                start(index);
            }
        }
    }

    void check() {
        std::vector<node_id> live_nodes;
        for (std::size_t index = 0; index < node_count; ++index) {
            if (net_.at(index).node != nullptr) {
                live_nodes.push_back(network::id(index));
            }
        }
        for (const auto id : live_nodes) {
            const auto index = network::index_of(id);
            auto& node = net_.node(index);
            BOOST_TEST((node.alive() == live_nodes), "node " << index << " has " << node.alive().size() << " of "
                                                             << live_nodes.size() << " live nodes");
            BOOST_TEST((node.upstreams({"orders"}, {"v1"}) == live_nodes));
            for (const auto other : live_nodes) {
                const auto* record = node.find(other);
                BOOST_TEST((record != nullptr && *record == *net_.node(network::index_of(other)).find(other)));
            }
            check_budget(index);
            BOOST_TEST(net_.at(index).max_datagram_bytes < 1200U);
        }
        BOOST_TEST(decreased_incarnations_ == 0U);
        BOOST_TEST(invariants_.violations() == 0U);
    }

    network net_;
    invariant_monitor invariants_;
    std::map<std::tuple<std::size_t, std::uint64_t, node_id>, incarnation> last_incarnations_;
    std::map<std::size_t, steady_time> start_times_;
    std::map<std::size_t, std::uint64_t> bytes_at_start_;
    std::size_t decreased_incarnations_{};
    std::uint64_t offset_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(histories)

// Guards against member tables that do not converge after faults, live nodes that stay recorded as dead, records whose
// incarnation decreases, and nodes that exceed the byte budget.
BOOST_AUTO_TEST_CASE(random_histories_converge) {
    const auto [first, last] = seed_range();
    for (auto seed = first; seed <= last; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) {
            history{seed}.run();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
