#include "core/node/fake_network.hpp"

#include <algorithm>

namespace goldcrestwell::test {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr microseconds min_latency{500};
constexpr milliseconds max_latency{6};
/** Fraction of the frames on a silent connection that still arrive, seconds late. */
constexpr double late_fraction = 0.2;
/** Fractions of the datagrams that are lost, repeated or delayed. */
constexpr double lost_fraction = 0.01;
constexpr double repeated_fraction = 0.01;
constexpr double delayed_fraction = 0.02;

std::size_t end_index(const std::size_t host, const std::size_t peer) {
    return host < peer ? 0 : 1;
}

} // namespace

fake_network::fake_network(virtual_time& time, const std::uint64_t seed, network_hooks hooks)
    : time_{time}, random_{seed}, hooks_{std::move(hooks)} {}

fake_network::link& fake_network::link_between(const std::size_t one, const std::size_t other) {
    return links_[std::minmax(one, other)];
}

bool fake_network::chance(const double probability) {
    return std::uniform_real_distribution<>{}(random_) < probability;
}

microseconds fake_network::random_delay(const microseconds min_delay, const microseconds max_delay) {
    return microseconds{std::uniform_int_distribution<std::int64_t>{min_delay.count(), max_delay.count()}(random_)};
}

bool fake_network::connected(const std::size_t one, const std::size_t other) const {
    return !partitioned_ || hooks_.region_of(one) == hooks_.region_of(other);
}

void fake_network::open(const std::size_t from, const std::size_t to) {
    auto& active_link = link_between(from, to);
    ++active_link.epoch;
    active_link.open = true;
    active_link.silent = false;
    active_link.opened_by = from;
    active_link.accepted_at = time_.now() + random_delay(min_latency, max_latency);
    active_link.last_arrival.at(end_index(from, to)) = active_link.accepted_at;
    active_link.start_incarnations.at(end_index(from, to)) = hooks_.start_incarnation_of(from);
    active_link.start_incarnations.at(end_index(to, from)) = hooks_.start_incarnation_of(to);
}

void fake_network::send_frame(const std::size_t from, const std::size_t to, const peer_message& message) {
    auto& active_link = link_between(from, to);
    if (!active_link.open ||
        active_link.start_incarnations.at(end_index(from, to)) != hooks_.start_incarnation_of(from)) {
        open(from, to);
    }
    if (!connected(from, to) || (!hooks_.running(to) && chance(0.5))) {
        active_link.silent = true;
        time_out(from, to);
        return;
    }
    if (!hooks_.running(to) ||
        active_link.start_incarnations.at(end_index(to, from)) != hooks_.start_incarnation_of(to)) {
        reset(from, to);
        return;
    }
    if (active_link.silent) {
        deliver_late(from, to, message);
        return;
    }
    if (from != active_link.opened_by && time_.now() < active_link.accepted_at) {
        return; // The frame is written to a connection that the other end has closed.
    }
    deliver_in_order(active_link, from, to, message);
}

void fake_network::deliver_in_order(link& active_link, const std::size_t from, const std::size_t to,
                                    const peer_message& message) {
    auto& last = active_link.last_arrival.at(end_index(from, to));
    last = std::max(last + microseconds{1}, time_.now() + random_delay(min_latency, max_latency));
    time_.at(last, [this, from, to, message, epoch = active_link.epoch,
                    start_incarnation = hooks_.start_incarnation_of(to)] {
        const auto& current = link_between(from, to);
        // The receiver still reads frames of the old connection until it accepts the new one.
        const auto readable = epoch == current.epoch ||
                              (from == current.opened_by && time_.now() < current.accepted_at && !current.silent);
        if (readable && !current.silent && hooks_.running(to) && hooks_.start_incarnation_of(to) == start_incarnation) {
            hooks_.frame_arrived(to, from, message);
        }
    });
}

void fake_network::deliver_late(const std::size_t from, const std::size_t to, const peer_message& message) {
    if (!chance(late_fraction)) {
        return;
    }
    time_.after(random_delay(max_latency, seconds{5}), [this, from, to, message,
                                                        start_incarnation = hooks_.start_incarnation_of(to)] {
        if (hooks_.running(to) && hooks_.start_incarnation_of(to) == start_incarnation && connected(from, to)) {
            hooks_.frame_arrived(to, from, message);
        }
    });
}

void fake_network::send_datagram(const std::size_t from, const std::size_t to, const datagram& message) {
    const int copies = datagram_faults_ && chance(repeated_fraction) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if ((datagram_faults_ && chance(lost_fraction)) || !connected(from, to)) {
            continue;
        }
        const auto max_delay =
            datagram_faults_ && chance(delayed_fraction) ? microseconds{seconds{1}} : microseconds{max_latency};
        time_.after(random_delay(min_latency, max_delay), [this, to, message] {
            if (hooks_.running(to)) {
                hooks_.datagram_arrived(to, message);
            }
        });
    }
}

void fake_network::replace(const std::size_t from, const std::size_t to) {
    open(from, to);
    link_between(from, to).silent = !connected(from, to);
    if (!hooks_.running(to)) {
        report_lost(from, to, random_delay(min_latency, max_latency));
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
    const auto epoch = link_between(host, peer).epoch;
    time_.after(random_delay(seconds{2}, seconds{8}), [this, host, peer, epoch] {
        if (link_between(host, peer).epoch == epoch) {
            reset(host, peer);
        }
    });
}

void fake_network::reset(const std::size_t one, const std::size_t other) {
    auto& active_link = link_between(one, other);
    ++active_link.epoch;
    active_link.silent = false;
    active_link.accepted_at = time_.now();
    if (!std::exchange(active_link.open, false)) {
        return;
    }
    for (const auto& [host, peer] : {std::pair{one, other}, std::pair{other, one}}) {
        if (hooks_.running(host)) {
            report_lost(host, peer, random_delay(min_latency, max_latency));
        }
    }
}

void fake_network::make_silent(const std::size_t one, const std::size_t other) {
    link_between(one, other).silent = true;
}

} // namespace goldcrestwell::test
