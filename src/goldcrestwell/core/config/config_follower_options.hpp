#ifndef GOLDCRESTWELL_CORE_CONFIG_CONFIG_FOLLOWER_OPTIONS_HPP
#define GOLDCRESTWELL_CORE_CONFIG_CONFIG_FOLLOWER_OPTIONS_HPP

#include "goldcrestwell/core/common/counters.hpp"
#include "goldcrestwell/core/common/invariant_monitor.hpp"
#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/config/table_snapshot.hpp"
#include "goldcrestwell/core/message/config_pull.hpp"
#include "goldcrestwell/core/message/edit_verdict.hpp"
#include "goldcrestwell/core/message/log_record.hpp"
#include "goldcrestwell/core/message/record_batch.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace goldcrestwell {

/** @brief Default time for which a read of the log waits for new records. */
inline constexpr std::chrono::milliseconds default_log_long_poll{3'000};

/** @brief Settings and hooks of a `config_follower`. */
struct config_follower_options {
    node_id self;
    /** @brief Seed of the random generator for jitter and the choice of peers. */
    std::uint64_t seed{};

    /** @brief Time for which the platform's log keeps a record. */
    std::chrono::milliseconds retention{std::chrono::hours{24}};
    /** @brief Delay between the checkpoint writes of two adjacent ranks. */
    std::chrono::milliseconds checkpoint_rank_interval{std::chrono::seconds{10}};
    /** @brief Delay before a checkpoint that did not appear in the log is written again. */
    std::chrono::milliseconds checkpoint_retry_delay{std::chrono::minutes{1}};
    /** @brief Time for which the log delays the response to a relay's read until a new record is appended. */
    std::chrono::milliseconds long_poll{default_log_long_poll};
    /** @brief Interval between two checks whether this node is a relay. */
    std::chrono::milliseconds role_check_interval{std::chrono::seconds{1}};
    /** @brief Delay before a node that is behind pulls, so that it does not pull records that are being pushed. */
    std::chrono::milliseconds pull_delay{150};
    /** @brief Time after which an unanswered pull is repeated at another peer. */
    std::chrono::milliseconds pull_timeout{500};
    /** @brief Time for which a node may be behind its peers before it reads from the log itself. */
    std::chrono::milliseconds direct_read_delay{std::chrono::seconds{3}};
    /** @brief Maximum jitter that is added before a direct read. */
    std::chrono::milliseconds max_direct_read_jitter{std::chrono::seconds{1}};
    /** @brief Average interval between direct reads; up to two may follow each other immediately. */
    std::chrono::milliseconds direct_read_interval{std::chrono::seconds{2}};
    /** @brief Bounds of the delay after a failed read; it doubles with each failure. */
    std::chrono::milliseconds min_read_retry_delay{250};
    std::chrono::milliseconds max_read_retry_delay{std::chrono::seconds{2}};
    /** @brief Average interval between state transfers to peers; up to two may follow each other immediately. */
    std::chrono::milliseconds state_transfer_interval{250};

    /** @brief Maximum number of records that are kept to answer pulls. */
    std::size_t max_window_records{1024};
    /** @brief Maximum estimated size in bytes of the records that are kept to answer pulls. */
    std::size_t max_window_bytes{std::size_t{1024} * 1024};
    /** @brief Maximum estimated size in bytes of a batch to a peer; a larger record is sent in a batch of its own. */
    std::size_t max_batch_bytes{std::size_t{64} * 1024};

    /**
     * @brief Starts a read of the log.
     *
     * At most one read is outstanding; each ends with `on_log_batch` or `on_log_failure`.
     */
    std::function<void(log_offset after, std::chrono::milliseconds wait)> read_log;
    /** @brief Appends a record to the log; only a read of the log shows whether it succeeded. */
    std::function<void(const log_record&)> append_record;
    std::function<void(node_id to, const config_pull&)> send_pull;
    std::function<void(node_id to, const record_batch&)> send_batch;
    /** @brief Returns the live members of this data centre, including this node. */
    std::function<std::vector<node_id>()> data_centre_peers;
    /** @brief Returns the live members of all data centres, including this node. */
    std::function<std::vector<node_id>()> all_peers;
    std::function<void(std::shared_ptr<const table_snapshot>)> snapshot_changed;
    /** @brief Reports the verdict on an edit, whether it was accepted or rejected. */
    std::function<void(const edit_verdict&)> edit_decided;
    /** @brief Counters for dropped batches and records; may be null. */
    counters* counts{};
    /** @brief Monitor for violated invariants; may be null. */
    invariant_monitor* invariants{};
};

} // namespace goldcrestwell

#endif
