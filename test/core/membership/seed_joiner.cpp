#include "goldcrestwell/core/membership/seed_joiner.hpp"

#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t known_node_count = 40;

std::vector<node_id> known_node_ids() {
    std::vector<node_id> nodes;
    for (std::uint64_t id = 1; id <= known_node_count; ++id) {
        nodes.emplace_back(id);
    }
    return nodes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(seed_joining)

// Guards against nodes that restart while the store refuses their requests and are then discovered one after the other:
// on one day, 557 calls were refused within three seconds because the restarted nodes' upstreams were not known.
BOOST_AUTO_TEST_CASE(new_seeds_are_all_contacted_within_half_a_second) {
    const steady_time start{seconds{100}};
    std::set<node_id> pinged;
    seed_joiner joiner{{.timing = {.join_backoff = milliseconds{100}, .join_fan_out = 3, .new_seed_fan_out = 64},
                        .seed = 7,
                        .is_isolated = [] { return false; },
                        .reconnect_targets = known_node_ids,
                        .ping =
                            [&pinged](const node_id node) {
                                pinged.insert(node);
                            }}};
    joiner.start(start);
    joiner.set_seeds(known_node_ids(), start);
    for (auto now = start; now <= start + milliseconds{500}; now += milliseconds{10}) {
        if (joiner.next_timer() && *joiner.next_timer() <= now) {
            joiner.on_timer(now);
        }
    }
    BOOST_TEST(pinged.size() == known_node_count);
}

BOOST_AUTO_TEST_SUITE_END()
