#ifndef GOLDCRESTWELL_CORE_MEMBERSHIP_ANTI_ENTROPY_HPP
#define GOLDCRESTWELL_CORE_MEMBERSHIP_ANTI_ENTROPY_HPP

#include "goldcrestwell/core/membership/byte_budget.hpp"
#include "goldcrestwell/core/membership/member_table.hpp"
#include "goldcrestwell/core/membership/membership_timing.hpp"
#include "goldcrestwell/core/message/sync_state.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace goldcrestwell {

/** @brief Settings and effects of `anti_entropy`; every hook must be set. */
struct anti_entropy_options {
    membership_timing timing;
    std::uint64_t seed{};
    std::function<std::optional<node_id>()> choose_peer;
    std::function<std::vector<move_update>()> moves;
    /** @brief A record as it may be told to others. */
    std::function<member(const member&)> outgoing;
    /** @brief Encoded bytes of a part of an answer. */
    std::function<std::size_t(const sync_state&)> state_size;
    std::function<void(node_id to, const sync_digest&)> send_digest;
    std::function<void(node_id to, const sync_state&)> send_state;
};

/**
 * @brief Pulls the records that differ from those of a random peer.
 *
 * An exchange covers one slice of the id space once the table is large, so that a joining node gets its records from
 * many peers. Answers are sent in parts that are paid from the byte budget at the lowest priority.
 */
class anti_entropy {
public:
    using size_type = std::size_t;

    /** @param table Source of answers. @param budget Pays for them. Both must outlive the object. */
    anti_entropy(anti_entropy_options options, const member_table& table, byte_budget& budget);

    /** @brief Asks for all slices in quick succession: after a start, a pause or a cut. */
    void catch_up(steady_time now);
    void on_digest(node_id from, const sync_digest& digest, steady_time now);
    /** @brief An answer brought news, so that another exchange is likely to bring more. */
    void on_news(size_type records, steady_time now);

    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const;

    [[nodiscard]] std::uint64_t exchanges() const noexcept { return exchanges_; }

private:
    struct answer {
        node_id to;
        std::vector<node_id> ids;
        std::vector<move_update> moves;
    };

    void exchange(steady_time now);
    void send_parts(steady_time now);
    [[nodiscard]] sync_state next_part(const answer& job) const;
    static void remove_part(answer& job);
    [[nodiscard]] std::vector<move_update> choose_moves();
    [[nodiscard]] std::uint64_t moves_digest(const std::vector<move_update>& moves) const;
    [[nodiscard]] bool sliced() const;
    [[nodiscard]] std::chrono::microseconds jittered(std::chrono::milliseconds interval);

    anti_entropy_options options_;
    const member_table* table_;
    byte_budget* budget_;
    std::mt19937_64 random_;
    std::optional<steady_time> next_;
    std::optional<steady_time> next_part_;
    std::deque<answer> answers_;
    std::uint32_t slice_;
    std::uint32_t slices_left_{};
    std::uint64_t exchanges_{};
};

} // namespace goldcrestwell

#endif
