#include "goldcrestwell/core/config/peer_positions.hpp"

#include <algorithm>

namespace goldcrestwell::internal {

void peer_positions::update(const node_id peer, const log_offset position) {
    highest_ = std::max(highest_, position);
    const auto found =
        std::find_if(peers_.begin(), peers_.end(), [peer](const peer_position& other) { return other.peer == peer; });
    // A peer without state has just started, so its position does not indicate the end of the log.
    if (!position) {
        if (found != peers_.end()) {
            peers_.erase(found);
        }
        return;
    }
    if (found != peers_.end()) {
        // The position is lower than before if the peer was restarted.
        found->position = position;
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

std::optional<node_id> peer_positions::pick(const log_offset after, const node_id avoided,
                                            std::mt19937_64& random) const {
    std::vector<node_id> eligible;
    for (const auto& item : peers_) {
        if (item.position > after) {
            eligible.push_back(item.peer);
        }
    }
    if (eligible.size() > 1) {
        std::erase(eligible, avoided);
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    return eligible[std::uniform_int_distribution<std::size_t>{0, eligible.size() - 1}(random)];
}

} // namespace goldcrestwell::internal
