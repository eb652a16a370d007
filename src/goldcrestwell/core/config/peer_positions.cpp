#include "goldcrestwell/core/config/peer_positions.hpp"

#include <algorithm>

namespace goldcrestwell::internal {

void peer_positions::note(const node_id peer, const log_offset position) {
    highest_ = std::max(highest_, position);
    const auto known =
        std::find_if(peers_.begin(), peers_.end(), [peer](const peer_position& other) { return other.peer == peer; });
    // A peer without any state has just started and says nothing about the log.
    if (!position) {
        if (known != peers_.end()) {
            peers_.erase(known);
        }
        return;
    }
    if (known != peers_.end()) {
        // May be lower than before, after a restart of the peer.
        known->position = position;
        return;
    }
    if (peers_.size() < max_peers) {
        peers_.push_back({.peer = peer, .position = position});
        return;
    }
    const auto lowest =
        std::min_element(peers_.begin(), peers_.end(), [](const peer_position& left, const peer_position& right) {
            return left.position < right.position;
        });
    if (lowest->position < position) {
        *lowest = {.peer = peer, .position = position};
    }
}

std::optional<node_id> peer_positions::pick(const log_offset above, const node_id avoid,
                                            std::mt19937_64& random) const {
    std::vector<node_id> able;
    for (const auto& item : peers_) {
        if (item.position > above) {
            able.push_back(item.peer);
        }
    }
    if (able.size() > 1) {
        std::erase(able, avoid);
    }
    if (able.empty()) {
        return std::nullopt;
    }
    return able[std::uniform_int_distribution<std::size_t>{0, able.size() - 1}(random)];
}

} // namespace goldcrestwell::internal
