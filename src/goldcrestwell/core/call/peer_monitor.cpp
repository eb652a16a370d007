#include "goldcrestwell/core/call/peer_monitor.hpp"

#include <algorithm>

namespace goldcrestwell {

namespace {

// A connection is refused within a fraction of a millisecond; the delay keeps repeated queries from loading the
// processor while a host is down.
constexpr std::chrono::milliseconds first_query_delay{50};
constexpr std::uint32_t max_doublings = 4;

} // namespace

steady_time peer_monitor::next_deadline(const state& peer) const {
    // After an unanswered heartbeat the connection is replaced; no further heartbeat is sent.
    const auto silence_deadline = std::max(peer.last_frame, peer.last_connect) + silence_timeout_;
    const auto next_heartbeat =
        std::max({peer.last_frame, peer.last_connect, peer.last_heartbeat}) + heartbeat_interval_;
    auto next = std::min(silence_deadline, next_heartbeat);
    if (peer.query_at) {
        next = std::min(next, *peer.query_at);
    }
    return next;
}

void peer_monitor::schedule(const std::uint64_t key, state& peer) {
    timers_.erase({peer.timer, key});
    peer.timer = next_deadline(peer);
    timers_.emplace(peer.timer, key);
}

void peer_monitor::add(const node_id peer, const std::uint64_t sequence, const steady_time now) {
    auto& item = peers_[peer.value()];
    if (item.outstanding.empty()) {
        item.last_frame = std::max(item.last_frame, now);
        item.last_connect = now;
        schedule(peer.value(), item);
    }
    item.outstanding.insert(sequence);
}

void peer_monitor::remove(const node_id peer, const std::uint64_t sequence) {
    const auto found = peers_.find(peer.value());
    if (found == peers_.end()) {
        return;
    }
    found->second.outstanding.erase(sequence);
    if (found->second.outstanding.empty()) {
        timers_.erase({found->second.timer, peer.value()});
        peers_.erase(found);
    }
}

void peer_monitor::on_frame(const node_id peer, const steady_time now) {
    if (const auto found = peers_.find(peer.value()); found != peers_.end()) {
        // The timer is not moved: it is rescheduled when it fires, so that a frame needs no update of the timer set.
        found->second.last_frame = std::max(found->second.last_frame, now);
        found->second.losses = 0;
    }
}

bool peer_monitor::on_connection_lost(const node_id peer, const steady_time now) {
    const auto found = peers_.find(peer.value());
    if (found == peers_.end()) {
        return false;
    }
    auto& item = found->second;
    item.last_connect = now;
    ++item.losses;
    if (item.losses > 1) {
        const auto doublings = std::min(item.losses - 2, max_doublings);
        item.query_at = now + first_query_delay * (1U << doublings);
    }
    schedule(found->first, item);
    return item.losses == 1;
}

std::vector<std::uint64_t> peer_monitor::outstanding(const node_id peer) const {
    const auto found = peers_.find(peer.value());
    if (found == peers_.end()) {
        return {};
    }
    return {found->second.outstanding.begin(), found->second.outstanding.end()};
}

std::uint32_t peer_monitor::losses(const node_id peer) const {
    const auto found = peers_.find(peer.value());
    return found == peers_.end() ? 0 : found->second.losses;
}

std::optional<std::pair<node_id, peer_action>> peer_monitor::next_due(const steady_time now) {
    if (timers_.empty() || timers_.begin()->first > now) {
        return std::nullopt;
    }
    const auto key = timers_.begin()->second;
    auto& item = peers_.at(key);
    auto action = peer_action::none;
    if (item.query_at && *item.query_at <= now) {
        item.query_at.reset();
        action = peer_action::query;
    } else if (std::max(item.last_frame, item.last_connect) + silence_timeout_ <= now) {
        item.last_connect = now;
        ++item.losses;
        action = peer_action::replace_connection;
    } else if (std::max({item.last_frame, item.last_connect, item.last_heartbeat}) + heartbeat_interval_ <= now) {
        item.last_heartbeat = now;
        action = peer_action::send_heartbeat;
    }
    schedule(key, item);
    return std::pair{node_id{key}, action};
}

std::optional<steady_time> peer_monitor::next_timer() const {
    if (timers_.empty()) {
        return std::nullopt;
    }
    return timers_.begin()->first;
}

} // namespace goldcrestwell
