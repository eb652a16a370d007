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

/** @brief Settings and effects of `anti_entropy`; every hook must be set. */
struct anti_entropy_options {
    membership_timing timing;
    std::uint64_t seed{};
    std::function<std::optional<node_id>()> choose_peer;
    std::function<std::vector<rollout_update>()> rollouts;
    /** @brief A record as it may be told to others. */
    std::function<member(const member&)> outgoing;
    /** @brief Encoded bytes of a part of an answer. */
    std::function<std::size_t(const sync_state&)> state_size;
    std::function<void(node_id to, const peer_message&)> send;
};

/**
 * @brief Pulls the records that differ from those of a random peer.
 *
 * The peer answers a digest with the versions of its records in buckets that differ. The asker then requests only
 * records that are news to it and are not on their way already, in pages from several peers. Every message has a bound
 * and is paid from the byte budget at the lowest priority.
 */
class anti_entropy {
public:
    using size_type = std::size_t;

    /** @param table Source of answers. @param budget Pays for them. Both must outlive the object. */
    anti_entropy(anti_entropy_options options, const member_table& table, byte_budget& budget);

    /** @brief Asks several peers in quick succession: after a start, a pause or a cut. */
    void catch_up(steady_time now);
    void on_digest(node_id from, const sync_digest& digest, steady_time now);
    void on_list(node_id from, const sync_list& list, steady_time now);
    void on_request(node_id from, const sync_request& request, steady_time now);

    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;

private:
    struct answer {
        node_id to;
        std::vector<node_id> ids;
        std::vector<rollout_update> rollouts;
        steady_time expiry;
    };

    void exchange(steady_time now);
    void send_list(node_id to, const sync_digest& digest, steady_time now);
    [[nodiscard]] bool is_news(const record_version& theirs) const;
    void request(node_id first_peer, const std::vector<node_id>& ids, steady_time now);
    void hasten(std::chrono::milliseconds interval, steady_time now);
    void add_answer(answer job, steady_time now);
    void send_parts(steady_time now);
    [[nodiscard]] sync_state next_part(const answer& job) const;
    static void remove_part(answer& job);
    [[nodiscard]] std::vector<rollout_update> choose_rollouts();
    [[nodiscard]] std::uint64_t rollouts_digest(const std::vector<rollout_update>& rollouts) const;
    [[nodiscard]] std::chrono::microseconds jittered(std::chrono::milliseconds interval);

    anti_entropy_options options_;
    const member_table* table_;
    byte_budget* budget_;
    std::mt19937_64 random_;
    std::optional<steady_time> next_;
    std::optional<steady_time> next_part_;
    std::deque<answer> answers_;
    /** Ids requested lately, with the time from which they may be requested again. */
    std::map<node_id, steady_time> requested_;
    /** Wait before the next exchange if this one finds nothing; doubles up to the usual interval. */
    std::chrono::milliseconds wait_;
};

} // namespace goldcrestwell

#endif
