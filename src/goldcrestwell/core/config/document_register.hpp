#ifndef GOLDCRESTWELL_CORE_CONFIG_DOCUMENT_REGISTER_HPP
#define GOLDCRESTWELL_CORE_CONFIG_DOCUMENT_REGISTER_HPP

#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/store_era.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/document_batch.hpp"
#include "goldcrestwell/core/message/document_pull.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace goldcrestwell {

/** @brief Delays and hooks of a `document_register`; hooks must be set unless stated otherwise. */
struct document_register_options {
    /**
     * @brief Delay before a pull from a peer that is ahead, because this node's own long poll may return the records.
     *
     * The store answers the long polls of all nodes within some tens of milliseconds, and a change must reach every
     * node within two seconds.
     */
    std::chrono::milliseconds pull_delay{250};
    /** @brief Delay for a peer in the same data centre, whose reply causes no traffic between data centres. */
    std::chrono::milliseconds same_data_centre_pull_delay{60};
    /** @brief Checks whether a peer is in the same data centre; if empty, no peer is. */
    std::function<bool(node_id)> is_in_same_data_centre;
    /** @brief Delay on standby for a peer in another data centre; a pull from the same data centre has none. */
    std::chrono::milliseconds standby_remote_pull_delay{150};
    /** @brief Checks whether this node is on standby, so that peers send it changes; if empty, it is not. */
    std::function<bool()> is_on_standby;
    /** @brief Time to wait for the reply to a pull before the next pull is sent. */
    std::chrono::milliseconds pull_retry_delay{400};
    std::function<void(node_id to, const document_pull&)> send_pull;
    std::function<void(node_id to, const document_batch&)> send_batch;
    /** @brief Compresses a document for the transfer to another node; if empty, it is sent uncompressed. */
    std::function<std::string(std::string_view payload)> pack;
    /** @brief Reverses `pack`; returns an empty optional for bytes that `pack` did not produce. */
    std::function<std::optional<std::string>(std::string_view packed_payload)> unpack;
    /** @brief Reports a record from a peer that could not be unpacked. */
    std::function<void(const operator_record&)> record_unreadable;
    /**
     * @brief Reports a record of a key that may replace the known one; called in the order of offsets within one batch.
     *
     * The record is a later one, or one that an earlier history of the store held. Returns false if the known record
     * stays in effect; it is then kept, also for peers.
     */
    std::function<bool(const operator_record&)> record_changed;
    /** @brief Reports a record that is older than the known one of its key; may be empty. */
    std::function<void(const operator_record& record, log_offset known)> record_outdated;
};

/**
 * @brief Newest operator record of each key, from the store or from peers.
 *
 * The record with the highest offset in the store wins, so batches of the store and of peers merge in any order.
 * Offsets of a later history of the store are higher. A record that only an earlier history held is kept until its key
 * is written again. A peer may hold one that this node has never had, so a node that has read a new history itself asks
 * a peer for all records once.
 */
class document_register {
public:
    explicit document_register(document_register_options options);

    /**
     * @brief Merges records that were read from the store.
     * @param records Records in any order.
     * @param through Position up to which the store was read.
     */
    void on_records(std::span<const operator_record> records, log_offset through);
    /** @brief Handles the position up to which a peer has read; schedules a pull if it is ahead. */
    void on_peer_position(node_id from, log_offset position, steady_time now);
    /** @brief Sends a peer the newest record of each key that was written after the position of its pull. */
    void on_pull(node_id from, const document_pull& pull);
    /** @brief Merges records from a peer; a batch with an unreadable record is ignored as a whole. */
    void on_batch(const document_batch& batch);
    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept;

    /** @return Position up to which the store was read, by this node or by a peer. */
    [[nodiscard]] log_offset position() const noexcept { return position_; }
    /** @return True if a peer is ahead and its records are to be pulled. */
    [[nodiscard]] bool is_pull_pending() const noexcept { return pull_.has_value(); }

private:
    /** @brief Packed payload of a record, cached for the pulls of several nodes. */
    struct packed_record {
        log_offset offset;
        std::string payload;
    };
    struct pending_pull {
        node_id from;
        log_offset position;
        steady_time due;
        /** @brief All records are requested, not only those after the own position. */
        bool is_full{};
        /** @brief True while the reply of the peer is outstanding. */
        bool sent{};
    };

    /** @return True if peers may hold records that the store has lost and this node has never had. */
    [[nodiscard]] bool lacks_peer_records() const noexcept;

    [[nodiscard]] const std::string& packed_payload(const operator_record& record);

    document_register_options options_;
    std::map<std::string, operator_record, std::less<>> newest_records_;
    std::map<std::string, packed_record, std::less<>> packed_;
    log_offset position_;
    /** @brief Era of the position when the last records of a peer were merged. */
    store_era peer_records_era_;
    std::optional<pending_pull> pull_;
};

} // namespace goldcrestwell

#endif
