// Measures how facts about members spread between membership objects in one process and virtual time.

#include "../test/core/membership/simulated_network.hpp"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>

namespace {

using namespace goldcrestwell;
using simulated::network;
using std::chrono::seconds;

constexpr std::size_t region_count = 7;
constexpr std::size_t seed_count = 3;
/** One way between regions; the longest hop that the arithmetic of docs/membership.md assumes. */
constexpr std::chrono::milliseconds longest_delay{100};
constexpr std::uint64_t default_seed = 11;

struct figures {
    double leaving_s{-1};
    double take_back_s{-1};
    double join_s{-1};
    double formed_s{-1};
    double quiet_bytes{};
    double restart_bytes{};
    double restart_worst_bytes{};
    double restart_s{-1};
    double processor_quiet_ms{};
    double processor_restart_ms{};
    double kilobytes_per_member{};
};

double seconds_between(const steady_time begin, const steady_time end) {
    return std::chrono::duration<double>(end - begin).count();
}

template <typename Predicate>
double time_until(network& net, const seconds limit, Predicate everywhere,
                  const std::chrono::milliseconds step = std::chrono::milliseconds{20}) {
    const auto begin = net.now().steady;
    // The condition visits every node, so it is tested once in a step of virtual time only.
    while (net.now().steady < begin + limit) {
        net.run_for(step);
        if (everywhere()) {
            return seconds_between(begin, net.now().steady);
        }
    }
    return -1;
}

template <typename Predicate>
bool all_nodes(network& net, Predicate predicate) {
    for (std::size_t index = 0; index < net.size(); ++index) {
        if (net.running(index) && !predicate(net.node(index))) {
            return false;
        }
    }
    return true;
}

upstream_info upstream_of(const std::size_t index) {
    return {.service = {"service-" + std::to_string(index % 100)},
            .version = {"version-1"},
            .slots = 10,
            .connections = 130};
}

struct load {
    double bytes{};
    double worst_bytes{};
    double processor_ms{};
};

load measure(network& net, const seconds duration) {
    std::vector<std::uint64_t> before;
    for (std::size_t index = 0; index < net.size(); ++index) {
        before.push_back(net.at(index).bytes);
    }
    const auto clock = std::clock();
    net.run_for(duration);
    const auto processor = static_cast<double>(std::clock() - clock) * 1000 / CLOCKS_PER_SEC;
    load result;
    for (std::size_t index = 0; index < net.size(); ++index) {
        const auto bytes =
            static_cast<double>(net.at(index).bytes - before[index]) / static_cast<double>(duration.count());
        result.bytes += bytes / static_cast<double>(net.size());
        result.worst_bytes = std::max(result.worst_bytes, bytes);
    }
    result.processor_ms = processor / static_cast<double>(net.size()) / static_cast<double>(duration.count());
    return result;
}

/** Prints what all nodes that are up have sent and received since their start. */
void print_counts(network& net, const char* phase) {
    membership_counters sum;
    for (std::size_t index = 0; index < net.size(); ++index) {
        if (!net.running(index)) {
            continue;
        }
        const auto& counts = net.node(index).counts();
        sum.syncs += counts.syncs;
        sum.gossip_records += counts.gossip_records;
        sum.gossip_repeats += counts.gossip_repeats;
        sum.sync_records += counts.sync_records;
        sum.sync_repeats += counts.sync_repeats;
        sum.datagrams += counts.datagrams;
        sum.fact_bytes += counts.fact_bytes;
        for (std::size_t place = 0; place < control_priority_count; ++place) {
            const auto priority = static_cast<control_priority>(place);
            sum.bytes.add(priority, counts.bytes[priority]);
            sum.withheld.add(priority, counts.withheld[priority]);
        }
    }
    const auto nodes = static_cast<double>(net.size());
    std::printf("# %s, per node: %.0f syncs, %.0f records gossiped (%.0f repeats), %.0f by sync (%.0f repeats), "
                "%.0f datagrams of %.0f bytes of facts;",
                phase, static_cast<double>(sum.syncs) / nodes, static_cast<double>(sum.gossip_records) / nodes,
                static_cast<double>(sum.gossip_repeats) / nodes, static_cast<double>(sum.sync_records) / nodes,
                static_cast<double>(sum.sync_repeats) / nodes, static_cast<double>(sum.datagrams) / nodes,
                static_cast<double>(sum.fact_bytes) / static_cast<double>(std::max<std::uint64_t>(1, sum.datagrams)));
    for (std::size_t place = 0; place < control_priority_count; ++place) {
        const auto priority = static_cast<control_priority>(place);
        std::printf(" %s %.0f bytes (%.0f withheld)", std::string{to_string(priority)}.c_str(),
                    static_cast<double>(sum.bytes[priority]) / nodes,
                    static_cast<double>(sum.withheld[priority]) / nodes);
    }
    std::printf("\n");
}

double form(network& net) {
    for (std::size_t index = 0; index + 1 < net.size(); ++index) {
        net.start(index);
        net.on(index, [&](membership& node) { node.announce(upstream_of(index), net.now()); });
    }
    const auto members = net.size() - 1;
    return time_until(
        net, seconds{600},
        [&net, members] {
            return all_nodes(net, [members](const membership& node) { return node.alive().size() == members; });
        },
        seconds{1});
}

double restart_part(network& net, load& cost) {
    const auto count = std::max<std::size_t>(1, net.size() / 20);
    std::vector<std::size_t> chosen;
    for (std::size_t step = 0; step < count; ++step) {
        chosen.push_back(seed_count + step * (net.size() - seed_count) / count);
    }
    const auto begin = net.now().steady;
    for (const auto index : chosen) {
        net.kill(index);
        net.start(index);
        net.on(index, [&](membership& node) { node.announce(upstream_of(index), net.now()); });
    }
    const auto informed = [&] {
        return all_nodes(net, [&](const membership& node) {
            return node.alive().size() == net.size() - 1 &&
                   std::all_of(chosen.begin(), chosen.end(), [&](const std::size_t index) {
                       return node.find(network::id(index))->start_incarnation == net.at(index).self.start_incarnation;
                   });
        });
    };
    cost = measure(net, seconds{10});
    if (informed()) {
        return seconds_between(begin, net.now().steady);
    }
    const auto rest = time_until(net, seconds{300}, informed, seconds{1});
    return rest < 0 ? -1 : seconds_between(begin, net.now().steady);
}

figures run(const std::size_t count, const std::uint64_t random_seed) {
    figures result;
    const auto heap = mallinfo2().uordblks;
    network net{count, region_count, seed_count, random_seed};
    net.network_faults.longest_delay = longest_delay;
    result.formed_s = form(net);
    print_counts(net, "formed");
    net.run_for(seconds{60});
    result.kilobytes_per_member = static_cast<double>(mallinfo2().uordblks - heap) / 1024.0 /
                                  static_cast<double>(count) / static_cast<double>(count);
    const auto quiet = measure(net, seconds{60});
    result.quiet_bytes = quiet.bytes;
    result.processor_quiet_ms = quiet.processor_ms;

    const auto last = count - 1;
    net.start(last);
    net.on(last, [&](membership& node) { node.announce(upstream_of(last), net.now()); });
    result.join_s = time_until(net, seconds{120}, [&] {
        return all_nodes(net, [&](const membership& node) {
            const auto* record = node.find(network::id(last));
            return record != nullptr && record->upstream.has_value();
        });
    });
    net.run_for(seconds{60});
    net.on(last, [&](membership& node) { node.leave(net.now()); });
    result.leaving_s = time_until(net, seconds{60}, [&] {
        return all_nodes(net, [&](const membership& node) {
            return node.find(network::id(last))->status == member_status::leaving;
        });
    });
    net.run_for(seconds{30});
    std::size_t informed = 1;
    net.rollout_received = [&informed](std::size_t, const rollout_update& update) {
        informed += update.state.rolled_back ? 1U : 0U;
    };
    net.on(0, [&](membership& node) {
        node.broadcast({.key = {.row = {.route = {"/orders"}, .version = {"version-1"}}, .row_version = log_offset{1}},
                        .state = {.stage = 2, .done = false, .rolled_back = true, .reason = rollback_reason::failures}},
                       true, net.now());
    });
    result.take_back_s = time_until(net, seconds{60}, [&] { return informed >= count; });
    net.on(last, [&](membership& node) { node.depart(net.now()); });
    net.run_for(seconds{1});
    net.kill(last);
    net.run_for(seconds{30});
    load cost;
    print_counts(net, "before restart");
    result.restart_s = restart_part(net, cost);
    print_counts(net, "after restart");
    result.restart_bytes = cost.bytes;
    result.restart_worst_bytes = cost.worst_bytes;
    result.processor_restart_ms = cost.processor_ms;
    return result;
}

void print_table(const int argc, const char* const* argv) {
    double load_average = 0;
    (void)getloadavg(&load_average, 1);
    std::printf("# load average %.1f, revision %s\n", load_average, argc > 1 ? argv[1] : "unknown");
    std::printf("%6s %8s %8s %10s %8s %10s %10s %10s %10s %9s %9s %9s\n", "nodes", "formed_s", "leave_s", "takeback_s",
                "join_s", "quiet_B/s", "storm_B/s", "worst_B/s", "storm_s", "cpu_ms/s", "stormcpu", "KB/member");
    std::vector<std::size_t> sizes{50, 200, 800};
    if (argc > 2) {
        sizes = {std::strtoull(argv[2], nullptr, 10)};
    }
    for (const auto count : sizes) {
        const auto row = run(count, argc > 3 ? std::strtoull(argv[3], nullptr, 10) : default_seed);
        std::printf("%6zu %8.2f %8.2f %10.2f %8.2f %10.0f %10.0f %10.0f %10.2f %9.3f %9.3f %9.3f\n", count,
                    row.formed_s, row.leaving_s, row.take_back_s, row.join_s, row.quiet_bytes, row.restart_bytes,
                    row.restart_worst_bytes, row.restart_s, row.processor_quiet_ms, row.processor_restart_ms,
                    row.kilobytes_per_member);
        std::fflush(stdout);
    }
}

} // namespace

int main(const int argc, const char* const* argv) {
    try {
        print_table(argc, argv);
        return 0;
    } catch (...) {
        std::fputs("membership_spread: failed\n", stderr);
        return 1;
    }
}
