// Measures how member records and rollout states propagate between `membership` objects in virtual time.

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
/** Maximum one-way delay between regions that the calculations in docs/membership.md assume. */
constexpr std::chrono::milliseconds max_delay{100};
constexpr std::uint64_t default_seed = 11;

struct measurements {
    double leave_s{-1};
    double rollback_s{-1};
    double join_s{-1};
    double formation_s{-1};
    double idle_bytes_per_s{};
    double restart_bytes_per_s{};
    double restart_max_bytes_per_s{};
    double restart_s{-1};
    double idle_cpu_ms_per_s{};
    double restart_cpu_ms_per_s{};
    double kilobytes_per_member{};
};

double seconds_between(const steady_time begin, const steady_time end) {
    return std::chrono::duration<double>(end - begin).count();
}

template <typename Predicate>
double time_until(network& net, const seconds limit, Predicate condition,
                  const std::chrono::milliseconds step = std::chrono::milliseconds{20}) {
    const auto begin = net.now().steady;
    // The condition visits every node, so it is checked only once per step of virtual time.
    while (net.now().steady < begin + limit) {
        net.run_for(step);
        if (condition()) {
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

struct usage {
    double mean_bytes_per_s{};
    double max_bytes_per_s{};
    double cpu_ms_per_s{};
};

usage measure(network& net, const seconds duration) {
    std::vector<std::uint64_t> before;
    for (std::size_t index = 0; index < net.size(); ++index) {
        before.push_back(net.at(index).bytes_sent);
    }
    const auto start_clock = std::clock();
    net.run_for(duration);
    const auto cpu_ms = static_cast<double>(std::clock() - start_clock) * 1000 / CLOCKS_PER_SEC;
    usage result;
    for (std::size_t index = 0; index < net.size(); ++index) {
        const auto bytes_per_s =
            static_cast<double>(net.at(index).bytes_sent - before[index]) / static_cast<double>(duration.count());
        result.mean_bytes_per_s += bytes_per_s / static_cast<double>(net.size());
        result.max_bytes_per_s = std::max(result.max_bytes_per_s, bytes_per_s);
    }
    result.cpu_ms_per_s = cpu_ms / static_cast<double>(net.size()) / static_cast<double>(duration.count());
    return result;
}

/** Prints the counters of the running nodes since their start, averaged over all nodes. */
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
        sum.update_bytes += counts.update_bytes;
        for (std::size_t value = 0; value < control_priority_count; ++value) {
            const auto priority = static_cast<control_priority>(value);
            sum.bytes.add(priority, counts.bytes[priority]);
            sum.withheld.add(priority, counts.withheld[priority]);
        }
    }
    const auto nodes = static_cast<double>(net.size());
    std::printf("# %s, per node: %.0f syncs, %.0f records gossiped (%.0f repeats), %.0f by sync (%.0f repeats), "
                "%.0f datagrams with %.0f bytes of updates;",
                phase, static_cast<double>(sum.syncs) / nodes, static_cast<double>(sum.gossip_records) / nodes,
                static_cast<double>(sum.gossip_repeats) / nodes, static_cast<double>(sum.sync_records) / nodes,
                static_cast<double>(sum.sync_repeats) / nodes, static_cast<double>(sum.datagrams) / nodes,
                static_cast<double>(sum.update_bytes) / static_cast<double>(std::max<std::uint64_t>(1, sum.datagrams)));
    for (std::size_t value = 0; value < control_priority_count; ++value) {
        const auto priority = static_cast<control_priority>(value);
        std::printf(" %s %.0f bytes (%.0f withheld)", std::string{to_string(priority)}.c_str(),
                    static_cast<double>(sum.bytes[priority]) / nodes,
                    static_cast<double>(sum.withheld[priority]) / nodes);
    }
    std::printf("\n");
}

double form_cluster(network& net) {
    for (std::size_t index = 0; index + 1 < net.size(); ++index) {
        net.start(index);
        net.invoke(index, [&](membership& node) { node.announce(upstream_of(index), net.now()); });
    }
    const auto members = net.size() - 1;
    return time_until(
        net, seconds{600},
        [&net, members] {
            return all_nodes(net, [members](const membership& node) { return node.alive().size() == members; });
        },
        seconds{1});
}

double restart_some_nodes(network& net, usage& restart_usage) {
    const auto count = std::max<std::size_t>(1, net.size() / 20);
    std::vector<std::size_t> chosen;
    for (std::size_t step = 0; step < count; ++step) {
        chosen.push_back(seed_count + step * (net.size() - seed_count) / count);
    }
    const auto begin = net.now().steady;
    for (const auto index : chosen) {
        net.kill(index);
        net.start(index);
        net.invoke(index, [&](membership& node) { node.announce(upstream_of(index), net.now()); });
    }
    const auto all_restarts_known = [&] {
        return all_nodes(net, [&](const membership& node) {
            return node.alive().size() == net.size() - 1 &&
                   std::all_of(chosen.begin(), chosen.end(), [&](const std::size_t index) {
                       return node.find(network::id(index))->start_incarnation == net.at(index).self.start_incarnation;
                   });
        });
    };
    restart_usage = measure(net, seconds{10});
    if (all_restarts_known()) {
        return seconds_between(begin, net.now().steady);
    }
    const auto remaining_s = time_until(net, seconds{300}, all_restarts_known, seconds{1});
    return remaining_s < 0 ? -1 : seconds_between(begin, net.now().steady);
}

measurements measure_cluster(const std::size_t count, const std::uint64_t random_seed) {
    measurements result;
    const auto heap = mallinfo2().uordblks;
    network net{count, region_count, seed_count, random_seed};
    net.network_faults.max_delay = max_delay;
    result.formation_s = form_cluster(net);
    print_counts(net, "formed");
    net.run_for(seconds{60});
    result.kilobytes_per_member = static_cast<double>(mallinfo2().uordblks - heap) / 1024.0 /
                                  static_cast<double>(count) / static_cast<double>(count);
    const auto idle = measure(net, seconds{60});
    result.idle_bytes_per_s = idle.mean_bytes_per_s;
    result.idle_cpu_ms_per_s = idle.cpu_ms_per_s;

    const auto last = count - 1;
    net.start(last);
    net.invoke(last, [&](membership& node) { node.announce(upstream_of(last), net.now()); });
    result.join_s = time_until(net, seconds{120}, [&] {
        return all_nodes(net, [&](const membership& node) {
            const auto* record = node.find(network::id(last));
            return record != nullptr && record->upstream.has_value();
        });
    });
    net.run_for(seconds{60});
    net.invoke(last, [&](membership& node) { node.start_leaving(net.now()); });
    result.leave_s = time_until(net, seconds{60}, [&] {
        return all_nodes(net, [&](const membership& node) {
            return node.find(network::id(last))->status == member_status::leaving;
        });
    });
    net.run_for(seconds{30});
    std::size_t nodes_informed = 1;
    net.rollout_received = [&nodes_informed](std::size_t, const rollout_update& update) {
        nodes_informed += update.state.rolled_back ? 1U : 0U;
    };
    net.invoke(0, [&](membership& node) {
        node.broadcast({.key = {.row = {.route = {"/orders"}, .version = {"version-1"}}, .row_version = log_offset{1}},
                        .state = {.stage = 2, .done = false, .rolled_back = true, .reason = rollback_reason::failures}},
                       true, net.now());
    });
    result.rollback_s = time_until(net, seconds{60}, [&] { return nodes_informed >= count; });
    net.invoke(last, [&](membership& node) { node.finish_leaving(net.now()); });
    net.run_for(seconds{1});
    net.kill(last);
    net.run_for(seconds{30});
    usage restart_usage;
    print_counts(net, "before restart");
    result.restart_s = restart_some_nodes(net, restart_usage);
    print_counts(net, "after restart");
    result.restart_bytes_per_s = restart_usage.mean_bytes_per_s;
    result.restart_max_bytes_per_s = restart_usage.max_bytes_per_s;
    result.restart_cpu_ms_per_s = restart_usage.cpu_ms_per_s;
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
        const auto row = measure_cluster(count, argc > 3 ? std::strtoull(argv[3], nullptr, 10) : default_seed);
        std::printf("%6zu %8.2f %8.2f %10.2f %8.2f %10.0f %10.0f %10.0f %10.2f %9.3f %9.3f %9.3f\n", count,
                    row.formation_s, row.leave_s, row.rollback_s, row.join_s, row.idle_bytes_per_s,
                    row.restart_bytes_per_s, row.restart_max_bytes_per_s, row.restart_s, row.idle_cpu_ms_per_s,
                    row.restart_cpu_ms_per_s, row.kilobytes_per_member);
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
