#include "core/node/fake_network.hpp"

#include <algorithm>

namespace goldcrestwell::test {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr microseconds shortest_way{500};
constexpr milliseconds longest_way{6};
/** Part of the frames on a silent connection that still arrive, seconds late. */
constexpr double late_part = 0.2;
/** Parts of the datagrams. */
constexpr double lost_part = 0.01;
constexpr double repeated_part = 0.01;
constexpr double delayed_part = 0.02;

std::size_t end_of(const std::size_t host, const std::size_t peer) {
    return host < peer ? 0 : 1;
}

} // namespace

fake_network::fake_network(virtual_time& time, const std::uint64_t seed, network_hooks hooks)
    : time_{time}, random_{seed}, hooks_{std::move(hooks)} {}

fake_network::link& fake_network::between(const std::size_t one, const std::size_t other) {
    return links_[std::minmax(one, other)];
}

bool fake_network::chance(const double probability) {
    return std::uniform_real_distribution<>{}(random_) < probability;
}

microseconds fake_network::between_times(const microseconds shortest, const microseconds longest) {
    return microseconds{std::uniform_int_distribution<std::int64_t>{shortest.count(), longest.count()}(random_)};
}

bool fake_network::connected(const std::size_t one, const std::size_t other) const {
    return !cut_ || hooks_.region_of(one) == hooks_.region_of(other);
}

void fake_network::open(const std::size_t from, const std::size_t to) {
    auto& used = between(from, to);
    ++used.epoch;
    used.open = true;
    used.silent = false;
    used.opened_by = from;
    used.known_at = time_.now() + between_times(shortest_way, longest_way);
    used.last_arrival.at(end_of(from, to)) = used.known_at;
    used.lives.at(end_of(from, to)) = hooks_.start_incarnation_of(from);
    used.lives.at(end_of(to, from)) = hooks_.start_incarnation_of(to);
}

void fake_network::send_frame(const std::size_t from, const std::size_t to, const peer_message& message) {
    auto& used = between(from, to);
    if (!used.open || used.lives.at(end_of(from, to)) != hooks_.start_incarnation_of(from)) {
        open(from, to);
    }
    if (!connected(from, to) || (!hooks_.running(to) && chance(0.5))) {
        used.silent = true;
        time_out(from, to);
        return;
    }
    if (!hooks_.running(to) || used.lives.at(end_of(to, from)) != hooks_.start_incarnation_of(to)) {
        reset(from, to);
        return;
    }
    if (used.silent) {
        deliver_late(from, to, message);
        return;
    }
    if (from != used.opened_by && time_.now() < used.known_at) {
        return; // Written to a connection that the other end has closed.
    }
    deliver_in_order(used, from, to, message);
}

void fake_network::deliver_in_order(link& used, const std::size_t from, const std::size_t to,
                                    const peer_message& message) {
    auto& last = used.last_arrival.at(end_of(from, to));
    last = std::max(last + microseconds{1}, time_.now() + between_times(shortest_way, longest_way));
    time_.at(last, [this, from, to, message, epoch = used.epoch, start_incarnation = hooks_.start_incarnation_of(to)] {
        const auto& current = between(from, to);
        // The receiver reads what it has received until it hears of the new connection.
        const auto readable =
            epoch == current.epoch || (from == current.opened_by && time_.now() < current.known_at && !current.silent);
        if (readable && !current.silent && hooks_.running(to) && hooks_.start_incarnation_of(to) == start_incarnation) {
            hooks_.frame_arrived(to, from, message);
        }
    });
}

void fake_network::deliver_late(const std::size_t from, const std::size_t to, const peer_message& message) {
    if (!chance(late_part)) {
        return;
    }
    time_.after(between_times(longest_way, seconds{5}), [this, from, to, message,
                                                         start_incarnation = hooks_.start_incarnation_of(to)] {
        if (hooks_.running(to) && hooks_.start_incarnation_of(to) == start_incarnation && connected(from, to)) {
            hooks_.frame_arrived(to, from, message);
        }
    });
}

void fake_network::send_datagram(const std::size_t from, const std::size_t to, const datagram& message) {
    const int copies = datagram_faults_ && chance(repeated_part) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if ((datagram_faults_ && chance(lost_part)) || !connected(from, to)) {
            continue;
        }
        const auto longest =
            datagram_faults_ && chance(delayed_part) ? microseconds{seconds{1}} : microseconds{longest_way};
        time_.after(between_times(shortest_way, longest), [this, to, message] {
            if (hooks_.running(to)) {
                hooks_.datagram_arrived(to, message);
            }
        });
    }
}

void fake_network::replace(const std::size_t from, const std::size_t to) {
    open(from, to);
    between(from, to).silent = !connected(from, to);
    if (!hooks_.running(to)) {
        report_lost(from, to, between_times(shortest_way, longest_way));
    }
}

void fake_network::report_lost(const std::size_t host, const std::size_t peer, const microseconds delay) {
    time_.after(delay, [this, host, peer, start_incarnation = hooks_.start_incarnation_of(host)] {
        if (hooks_.running(host) && hooks_.start_incarnation_of(host) == start_incarnation) {
            hooks_.peer_lost(host, peer);
        }
    });
}

void fake_network::time_out(const std::size_t host, const std::size_t peer) {
    const auto epoch = between(host, peer).epoch;
    time_.after(between_times(seconds{2}, seconds{8}), [this, host, peer, epoch] {
        if (between(host, peer).epoch == epoch) {
            reset(host, peer);
        }
    });
}

void fake_network::reset(const std::size_t one, const std::size_t other) {
    auto& used = between(one, other);
    ++used.epoch;
    used.silent = false;
    used.known_at = time_.now();
    if (!std::exchange(used.open, false)) {
        return;
    }
    for (const auto& [host, peer] : {std::pair{one, other}, std::pair{other, one}}) {
        if (hooks_.running(host)) {
            report_lost(host, peer, between_times(shortest_way, longest_way));
        }
    }
}

void fake_network::silence(const std::size_t one, const std::size_t other) {
    between(one, other).silent = true;
}

} // namespace goldcrestwell::test
