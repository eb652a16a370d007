#ifndef GOLDCRESTWELL_CORE_NODE_RECORD_ORIGIN_HPP
#define GOLDCRESTWELL_CORE_NODE_RECORD_ORIGIN_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <chrono>
#include <optional>

namespace goldcrestwell {

/** @brief Source of the records of the operators that a node applies, and their delay, for logs. */
class record_origin {
public:
    /** @brief Handles the arrival of records; `peer` is empty if they were read from the store. */
    void on_records(const std::optional<node_id> peer) noexcept { peer_ = peer; }
    /** @brief Handles a position that a peer has announced; `known` is the position of this node. */
    void on_peer_position(log_offset position, log_offset known, steady_time now) noexcept;
    /** @brief Handles the position of this node after an event. */
    void on_position(log_offset known) noexcept;

    /** @return Peer that sent the latest records; empty if they were read from the store. */
    [[nodiscard]] std::optional<node_id> peer() const noexcept { return peer_; }
    /** @return Time since this node first learned that it is behind a peer; empty if it is not. */
    [[nodiscard]] std::optional<std::chrono::milliseconds> delay(steady_time now) const noexcept;

private:
    std::optional<node_id> peer_;
    log_offset announced_position_;
    std::optional<steady_time> behind_since_;
};

} // namespace goldcrestwell

#endif
