#ifndef GOLDCRESTWELL_CORE_CONFIG_PEER_POSITIONS_HPP
#define GOLDCRESTWELL_CORE_CONFIG_PEER_POSITIONS_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/node_id.hpp"

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

namespace goldcrestwell::internal {

/** @brief Positions that peers advertised; keeps a limited number of peers with the highest positions. */
class peer_positions {
public:
    /** @brief Updates the position of a peer. */
    void update(node_id peer, log_offset position);
    /** @return Highest position that any peer has advertised. */
    [[nodiscard]] log_offset highest() const noexcept { return highest_; }
    /** @return Number of peers that are kept; peers without state are not. */
    [[nodiscard]] std::size_t size() const noexcept { return peers_.size(); }
    /**
     * @brief Picks a random peer to pull from.
     * @param after Position that the peer must exceed.
     * @param avoided Peer that is picked only if there is no other.
     * @param random Random generator.
     * @return A peer, or an empty optional if none exceeds the position.
     */
    [[nodiscard]] std::optional<node_id> pick(log_offset after, node_id avoided, std::mt19937_64& random) const;

private:
    struct peer_position {
        node_id peer;
        log_offset position;
    };

    // Enough for the three peers that readiness requires and for retries of a pull.
    static constexpr std::size_t max_peers = 8;

    std::vector<peer_position> peers_;
    log_offset highest_;
};

} // namespace goldcrestwell::internal

#endif
