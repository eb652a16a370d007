#ifndef GOLDCRESTWELL_CORE_CONFIG_CONFIG_FOLLOWER_HPP
#define GOLDCRESTWELL_CORE_CONFIG_CONFIG_FOLLOWER_HPP

#include "goldcrestwell/core/common/drop_reason.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/config/checkpoint_collector.hpp"
#include "goldcrestwell/core/config/checkpoint_schedule.hpp"
#include "goldcrestwell/core/config/config_follower_options.hpp"
#include "goldcrestwell/core/config/log_scan.hpp"
#include "goldcrestwell/core/config/peer_positions.hpp"
#include "goldcrestwell/core/config/read_schedule.hpp"
#include "goldcrestwell/core/config/record_window.hpp"
#include "goldcrestwell/core/config/table_reducer.hpp"
#include "goldcrestwell/core/config/token_bucket.hpp"

#include <chrono>
#include <optional>
#include <random>
#include <vector>

namespace goldcrestwell {

/** @brief Keeps the table up to date from the log and from peers, and distributes records to peers. */
class config_follower {
public:
    explicit config_follower(config_follower_options options);

    void start(time_sample now);
    /** @brief Handles the batch that the outstanding read of the log returned. */
    void on_log_batch(const record_batch& batch, time_sample now);
    /** @brief Handles a failure or timeout of the outstanding read of the log. */
    void on_log_failure(time_sample now);
    /** @brief Handles the position that a peer advertised: the offset up to which it has applied all records. */
    void on_peer_position(node_id peer, log_offset position, time_sample now);
    /** @brief Answers the pull of a peer with records, or with the whole state if older records are needed. */
    void on_pull(node_id from, const config_pull& pull, time_sample now);
    /** @brief Handles records or a state transfer from a peer. */
    void on_peer_batch(node_id from, const record_batch& batch, time_sample now);
    void on_timer(time_sample now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;

    /** @return True once the table was brought up to date after the start; stays true. */
    [[nodiscard]] bool ready() const noexcept { return ready_; }
    /** @return Offset up to which all records are applied; never decreases. */
    [[nodiscard]] log_offset position() const noexcept { return reducer_.position(); }
    [[nodiscard]] const table_reducer& reducer() const noexcept { return reducer_; }

private:
    // Application of records.
    void apply(const record_batch& batch, steady_time now);
    void apply_record(const sequenced_record& record, steady_time now);
    void restore(const std::vector<checkpoint_part>& parts);
    void collect_transfer(node_id from, const record_batch& batch, steady_time now);
    void report_changes();

    // Distribution to peers.
    void push_to_children(log_offset before);
    void send_records(node_id to, record_batch batch);
    void send_state(node_id to, steady_time now);

    // Recovery of missing records.
    void after_event(log_offset before, bool pull_answered, steady_time now);
    void catch_up(bool progress, bool pull_answered, steady_time now);
    void update_ready();
    void schedule_direct_read(steady_time now);
    [[nodiscard]] bool has_enough_peer_positions() const;

    // Timers.
    void update_role(steady_time now);
    void pull_if_due(steady_time now);
    void read_if_due(steady_time now);
    void write_checkpoint_if_due(steady_time now);

    void count(drop_reason reason);
    [[nodiscard]] std::chrono::milliseconds jitter(std::chrono::milliseconds max_jitter);

    config_follower_options options_;
    std::mt19937_64 random_;
    table_reducer reducer_;
    internal::record_window window_;
    internal::peer_positions peers_;
    internal::read_schedule reads_;
    internal::log_scan scan_;
    internal::checkpoint_schedule checkpoints_;
    internal::checkpoint_collector transfer_parts_;
    internal::token_bucket transfer_budget_;
    std::shared_ptr<const table_snapshot> reported_;
    std::vector<edit_verdict> new_verdicts_;
    std::optional<steady_time> role_check_at_;
    std::optional<steady_time> pull_at_;
    node_id pulled_peer_;
    log_offset head_;
    log_offset first_retained_;
    bool ready_{};
};

} // namespace goldcrestwell

#endif
