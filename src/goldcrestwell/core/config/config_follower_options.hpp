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

/** @brief Settings, hooks and collaborators of a follower. */
struct config_follower_options {
    node_id self;
    /** @brief Seed of the jitter. */
    std::uint64_t seed{};

    /** @brief Time for which the platform's log keeps a record. */
    std::chrono::milliseconds retention{std::chrono::hours{24}};
    /** @brief Difference between the times at which two neighbouring ranks write a checkpoint. */
    std::chrono::milliseconds checkpoint_rank_interval{std::chrono::seconds{10}};
    /** @brief Wait before the writer of a checkpoint that did not appear in the log writes it again. */
    std::chrono::milliseconds checkpoint_retry{std::chrono::minutes{1}};
    /** @brief Longest time for which a relay's read waits at the log for a new record. */
    std::chrono::milliseconds long_poll{std::chrono::seconds{20}};
    /** @brief Interval at which a node checks whether it is a relay. */
    std::chrono::milliseconds role_check{std::chrono::seconds{1}};
    /** @brief Wait for the push before a node that is behind pulls, so that it does not ask for what is on its way. */
    std::chrono::milliseconds pull_grace{150};
    /** @brief Time after which an unanswered pull is sent to another peer. */
    std::chrono::milliseconds pull_timeout{500};
    /** @brief Time for which a node may be behind its peers before it reads the log itself. */
    std::chrono::milliseconds own_read_after{std::chrono::seconds{3}};
    /** @brief Longest random addition to the start of an own read. */
    std::chrono::milliseconds own_read_jitter{std::chrono::seconds{1}};
    /** @brief Time after which an own read is allowed again; up to two may follow each other at once. */
    std::chrono::milliseconds own_read_interval{std::chrono::seconds{2}};
    /** @brief Bounds of the wait after a failed read; it doubles between them. */
    std::chrono::milliseconds read_retry_min{250};
    std::chrono::milliseconds read_retry_max{std::chrono::seconds{2}};
    /** @brief Time after which another peer may get the whole state; up to eight may get it at once. */
    std::chrono::milliseconds state_transfer_interval{250};

    /** @brief Records kept to answer pulls. */
    std::size_t window_records{1024};
    /** @brief Estimated bytes of records kept to answer pulls. */
    std::size_t window_bytes{std::size_t{1024} * 1024};
    /** @brief Estimated bytes of one batch to a peer; one larger record is still sent alone. */
    std::size_t max_batch_bytes{std::size_t{64} * 1024};

    /** @brief Starts a read of the log; at most one is outstanding, and each ends in a batch or a failure. */
    std::function<void(log_offset after, std::chrono::milliseconds wait)> read_log;
    /** @brief Appends a record to the log; the outcome is seen only by reading the log. */
    std::function<void(const log_record&)> append_record;
    std::function<void(node_id to, const config_pull&)> send_pull;
    std::function<void(node_id to, const record_batch&)> send_batch;
    /** @brief Live members of the own data centre, self included. */
    std::function<std::vector<node_id>()> data_centre_peers;
    /** @brief Live members everywhere, self included. */
    std::function<std::vector<node_id>()> all_peers;
    std::function<void(std::shared_ptr<const table_snapshot>)> snapshot_changed;
    std::function<void(const edit_verdict&)> edit_decided;
    /** @brief Counts dropped batches and records; may be null. */
    counters* counts{};
    invariant_monitor* invariants{};
};

} // namespace goldcrestwell

#endif
