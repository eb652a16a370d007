#ifndef GOLDCRESTWELL_CORE_CONFIG_CONFIG_FOLLOWER_HPP
#define GOLDCRESTWELL_CORE_CONFIG_CONFIG_FOLLOWER_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/config/config_follower_options.hpp"
#include "goldcrestwell/core/config/table_reducer.hpp"

#include <optional>

namespace goldcrestwell {

/** @brief Keeps the table up to date from the log and from other nodes, and helps other nodes to do so. */
class config_follower {
public:
    explicit config_follower(config_follower_options options);

    void start(time_sample now);
    /** @brief The outstanding read was answered. */
    void on_log_batch(const record_batch& batch, time_sample now);
    /** @brief The outstanding read failed or timed out. */
    void on_log_failure(time_sample now);
    /** @brief A peer advertises the offset up to which it holds the state. */
    void on_peer_position(node_id peer, log_offset position, time_sample now);
    void on_pull(node_id from, const config_pull& pull, time_sample now);
    void on_peer_batch(node_id from, const record_batch& batch, time_sample now);
    void on_timer(time_sample now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;

    /** @return True once the table is known to be current after the start; stays true. */
    [[nodiscard]] bool ready() const noexcept { return ready_; }
    /** @return Offset up to which the state holds all records; never decreases. */
    [[nodiscard]] log_offset position() const noexcept { return reducer_.position(); }
    [[nodiscard]] const table_reducer& reducer() const noexcept { return reducer_; }

private:
    config_follower_options options_;
    table_reducer reducer_;
    bool ready_{};
};

} // namespace goldcrestwell

#endif
