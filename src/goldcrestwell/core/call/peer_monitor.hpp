#ifndef GOLDCRESTWELL_CORE_CALL_PEER_MONITOR_HPP
#define GOLDCRESTWELL_CORE_CALL_PEER_MONITOR_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrestwell {

/** @brief Action to take when the timer of a peer expires. */
enum class peer_action : std::uint8_t { none, send_heartbeat, replace_connection, query };

/** @brief Monitors the connections to peers with outstanding attempts. */
class peer_monitor {
public:
    using size_type = std::size_t;

    peer_monitor(std::chrono::milliseconds heartbeat_interval, std::chrono::milliseconds silence_timeout)
        : heartbeat_interval_{heartbeat_interval}, silence_timeout_{silence_timeout} {}

    void add(node_id peer, std::uint64_t sequence, steady_time now);
    void remove(node_id peer, std::uint64_t sequence);
    void on_frame(node_id peer, steady_time now);
    /** @return True if the outstanding attempts must be queried at once; otherwise `next_due` returns `query` later. */
    [[nodiscard]] bool on_connection_lost(node_id peer, steady_time now);

    /** @brief Returns the sequence numbers of the outstanding attempts in ascending order. */
    [[nodiscard]] std::vector<std::uint64_t> outstanding(node_id peer) const;
    /** @brief Returns the number of lost or silent connections since the last frame. */
    [[nodiscard]] std::uint32_t losses(node_id peer) const;
    /** @brief Returns the next peer whose timer has expired, with the action to take, and restarts the timer. */
    [[nodiscard]] std::optional<std::pair<node_id, peer_action>> next_due(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;

private:
    struct state {
        std::set<std::uint64_t> outstanding;
        steady_time last_frame{};
        steady_time last_connect{};
        steady_time last_heartbeat{};
        std::optional<steady_time> query_at;
        steady_time timer{};
        std::uint32_t losses{};
    };

    [[nodiscard]] steady_time next_deadline(const state& peer) const;
    void schedule(std::uint64_t key, state& peer);

    std::unordered_map<std::uint64_t, state> peers_;
    std::set<std::pair<steady_time, std::uint64_t>> timers_;
    std::chrono::milliseconds heartbeat_interval_;
    std::chrono::milliseconds silence_timeout_;
};

} // namespace goldcrestwell

#endif
