#ifndef GOLDCRESTWELL_CORE_CONFIG_PEER_POSITIONS_HPP
#define GOLDCRESTWELL_CORE_CONFIG_PEER_POSITIONS_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/node_id.hpp"

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

namespace goldcrestwell::internal {

/** @brief Positions advertised by a few peers, preferring the highest. */
class peer_positions {
public:
    void note(node_id peer, log_offset position);
    /** @return Highest position ever advertised. */
    [[nodiscard]] log_offset highest() const noexcept { return highest_; }
    /** @return Number of peers that hold anything, up to the few that are kept. */
    [[nodiscard]] std::size_t size() const noexcept { return peers_.size(); }
    /** @return A random peer above a position, another than the one to avoid if there is one. */
    [[nodiscard]] std::optional<node_id> pick(log_offset above, node_id avoid, std::mt19937_64& random) const;

private:
    struct peer_position {
        node_id peer;
        log_offset position;
    };

    // Enough for the three peers that readiness asks for and for retries of a pull.
    static constexpr std::size_t max_peers = 8;

    std::vector<peer_position> peers_;
    log_offset highest_;
};

} // namespace goldcrestwell::internal

#endif
