#ifndef GOLDCRESTWELL_CORE_CONFIG_DOCUMENT_REGISTER_HPP
#define GOLDCRESTWELL_CORE_CONFIG_DOCUMENT_REGISTER_HPP

#include "goldcrestwell/core/common/node_id.hpp"
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

/** @brief Waits and effects of a `document_register`; every hook must be set. */
struct document_register_options {
    /**
     * @brief Time for the own read from the store to bring what a peer already has.
     *
     * A long poll answers all nodes within some tens of milliseconds, and the bound on a change is two seconds.
     */
    std::chrono::milliseconds pull_after{250};
    /** @brief The same for a peer whose answer costs no traffic between data centres. */
    std::chrono::milliseconds pull_near_after{60};
    /** @brief True for peers in the own data centre; if empty, no peer is. */
    std::function<bool(node_id)> near;
    /** @brief The same on standby, for a peer in another data centre; a near one is asked at once. */
    std::chrono::milliseconds pull_far_standby{150};
    /** @brief True if no own read is to be expected, so that peers are asked at once; if empty, one is. */
    std::function<bool()> on_standby;
    /** @brief Wait for a peer's answer before the next peer with news is asked. */
    std::chrono::milliseconds pull_again{400};
    std::function<void(node_id to, const document_pull&)> send_pull;
    std::function<void(node_id to, const document_batch&)> send_batch;
    /** @brief Makes a document small for its way to another node; if empty, it goes as it is. */
    std::function<std::string(std::string_view payload)> pack;
    /** @brief Reverses `pack`; nothing if the bytes are not its result. */
    std::function<std::optional<std::string>(std::string_view packed)> unpack;
    /** @brief A record of a peer could not be unpacked. */
    std::function<void(const operator_record&)> unreadable;
    /** @brief A newer record of a key; called in the order of offsets within one batch. */
    std::function<void(const operator_record&)> changed;
};

/**
 * @brief Newest operator record of each key, whatever way it came.
 *
 * Records are ordered by their offset in the store, so batches of the store and of peers merge in any order.
 */
class document_register {
public:
    explicit document_register(document_register_options options);

    /** @brief Takes records read from the store. @param through Position that they were read to. */
    void on_records(std::span<const operator_record> records, log_offset through);
    /** @brief A peer has read to that position. */
    void on_peer_position(node_id from, log_offset position, steady_time now);
    void on_pull(node_id from, const document_pull& pull);
    /** @brief Takes a peer's records; a batch with an unreadable record changes nothing. */
    void on_batch(const document_batch& batch);
    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept;

    /** @return Position that all records here were read to. */
    [[nodiscard]] log_offset position() const noexcept { return position_; }

private:
    /** @brief A record as it goes to other nodes, made once for all that ask. */
    struct packed_record {
        log_offset offset;
        std::string payload;
    };
    struct pending_pull {
        node_id from;
        log_offset position;
        steady_time due;
    };

    [[nodiscard]] const std::string& packed(const operator_record& record);

    document_register_options options_;
    std::map<std::string, operator_record, std::less<>> newest_;
    std::map<std::string, packed_record, std::less<>> packed_;
    log_offset position_;
    std::optional<pending_pull> pull_;
};

} // namespace goldcrestwell

#endif
