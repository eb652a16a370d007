#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_ANTI_ENTROPY_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_ANTI_ENTROPY_HPP

#include "goldcrestwell/core/membership/byte_budget.hpp"
#include "goldcrestwell/core/membership/member_table.hpp"
#include "goldcrestwell/core/membership/membership_timing.hpp"
#include "goldcrestwell/core/message/peer_message.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace goldcrestwell {

/** @brief Settings and hooks of `anti_entropy`; every hook must be set. */
struct anti_entropy_options {
    membership_timing timing;
    std::uint64_t seed{};
    /** @brief Returns a random live member, or nothing if there is none. */
    std::function<std::optional<node_id>()> choose_peer;
    std::function<std::vector<rollout_update>()> rollouts;
    /** @brief Returns a copy of a record in the form in which it is sent to other nodes. */
    std::function<member(const member&)> published_record;
    /** @brief Returns the encoded size of a reply in bytes. */
    std::function<std::size_t(const sync_state&)> encoded_size;
    std::function<void(node_id to, const peer_message&)> send;
};

/**
 * @brief Repairs differences between member tables by pull: this node fetches newer records from random peers.
 *
 * The node sends digests of its table. The peer replies with the versions of its records in the buckets that differ,
 * and the node requests the newer ones in pages from several peers, except those that it has requested already. Each
 * message has a maximum size and is charged to the byte budget at the lowest priority.
 */
class anti_entropy {
public:
    using size_type = std::size_t;

    /**
     * @param table Records to compare and to send; must outlive the object.
     * @param budget Limits the bytes sent; must outlive the object.
     */
    anti_entropy(anti_entropy_options options, const member_table& table, byte_budget& budget);

    /** @brief Starts exchanges at short, doubling intervals, for example after a start or a network partition. */
    void catch_up(steady_time now);
    void on_digest(node_id from, const sync_digest& digest, steady_time now);
    void on_list(node_id from, const sync_list& list, steady_time now);
    void on_request(node_id from, const sync_request& request, steady_time now);

    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;

private:
    struct pending_reply {
        node_id to;
        std::vector<node_id> ids;
        std::vector<rollout_update> rollouts;
        steady_time expiry;
    };

    void start_exchange(steady_time now);
    void send_list(node_id to, const sync_digest& digest, steady_time now);
    [[nodiscard]] bool is_newer(const record_version& remote) const;
    void request(node_id first_peer, const std::vector<node_id>& ids, steady_time now);
    void bring_forward(std::chrono::milliseconds interval, steady_time now);
    void add_reply(pending_reply reply, steady_time now);
    void send_chunks(steady_time now);
    [[nodiscard]] sync_state next_chunk(const pending_reply& reply) const;
    static void remove_chunk(pending_reply& reply);
    [[nodiscard]] std::vector<rollout_update> choose_rollouts();
    [[nodiscard]] std::uint64_t rollouts_digest(const std::vector<rollout_update>& rollouts) const;
    [[nodiscard]] std::chrono::microseconds jittered(std::chrono::milliseconds interval);

    anti_entropy_options options_;
    const member_table* table_;
    byte_budget* budget_;
    std::mt19937_64 random_;
    std::optional<steady_time> next_exchange_;
    std::optional<steady_time> next_chunk_due_;
    std::deque<pending_reply> replies_;
    /** @brief Ids of requested records, with the time at which the request expires. */
    std::map<node_id, steady_time> request_expiries_;
    /** @brief Interval to the next exchange; doubles up to `membership_timing::sync_interval`. */
    std::chrono::milliseconds exchange_interval_;
};

} // namespace goldcrestwell

#endif
