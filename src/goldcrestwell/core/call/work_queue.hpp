#ifndef GOLDCRESTWELL_CORE_CALL_WORK_QUEUE_HPP
#define GOLDCRESTWELL_CORE_CALL_WORK_QUEUE_HPP

#include "goldcrestwell/core/common/attempt_id.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/row_key.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace goldcrestwell {

/** @brief Sort key of a waiting attempt. */
struct queue_key {
    /** @brief Number of nodes passed since the first caller; refusing a nested call wastes the run of its parent. */
    std::uint32_t depth{};
    /** @brief Priority; 0 is the most urgent. */
    std::uint32_t priority{};
    /** @brief Time by which the response is due; the maximum if there is no objective. */
    steady_time due{steady_time::max()};
};

/**
 * @brief Queue of the attempts that wait for a slot, with the number of running calls of each row.
 *
 * Attempts that can still be answered by their due time go first: nested calls before new requests, then by priority,
 * then by due time. Late attempts get a slot only when none of these is waiting, so that an overloaded upstream does
 * not spend slots on responses that come too late to be useful. Every `fifo_interval`-th call of `pop` takes the oldest
 * attempt that is in time, so that urgent routes do not starve the others. Without objectives, attempts are taken in
 * the order of arrival.
 */
class work_queue {
public:
    using size_type = std::size_t;
    /** @brief One in this many attempts is taken in the order of arrival, regardless of its key. */
    static constexpr size_type fifo_interval = 12;
    /** @brief Returns the expected service time of a row's calls. */
    using service_time_hook = std::function<std::chrono::microseconds(const row_key&)>;

    void push(const row_key& row, const attempt_id& id, const queue_key& key = {});
    void erase(const row_key& row, const attempt_id& id);
    /**
     * @brief Removes and returns the next attempt; empty if no attempt may start.
     * @param row_limit Maximum number of running calls of an attempt's row.
     * @param service_time Expected service time of a row's calls.
     */
    [[nodiscard]] std::optional<attempt_id> pop(const std::function<std::uint32_t(const attempt_id&)>& row_limit,
                                                const service_time_hook& service_time, steady_time now);

    void on_started(const row_key& row) { ++rows_[row].running; }
    void on_finished(const row_key& row);

    /** @brief Returns the total service time of the waiting attempts that go before a new one with that key. */
    [[nodiscard]] std::chrono::microseconds work_before(const queue_key& key, const service_time_hook& service_time,
                                                        steady_time now) const;
    /** @brief Returns the number of waiting attempts that can not be answered by their due time. */
    [[nodiscard]] size_type late_count(const service_time_hook& service_time, steady_time now) const;
    [[nodiscard]] size_type queued(const row_key& row) const;
    [[nodiscard]] std::uint32_t running(const row_key& row) const;
    [[nodiscard]] size_type size() const noexcept { return size_; }

private:
    using queue_position = std::pair<steady_time, std::uint64_t>;
    struct row_state {
        /** @brief Key of the newest attempt; the attempts of a row usually have the same depth and priority. */
        queue_key key;
        std::map<queue_position, attempt_id> waiting;
        std::map<attempt_id, queue_position> positions;
        std::uint32_t running{};
    };
    /** @brief Next attempt of a row: the first that can be answered by its due time, or else the first of all. */
    struct row_head {
        std::map<queue_position, attempt_id>::const_iterator entry;
        bool in_time{};
    };

    /** @brief Checks whether attempts of a row go before a new one with that key whatever their due times. */
    [[nodiscard]] static bool goes_before(const queue_key& row, const queue_key& key) noexcept;
    [[nodiscard]] static row_head head_of(const row_state& state, std::chrono::microseconds service_time,
                                          steady_time now);

    std::map<row_key, row_state> rows_;
    size_type size_{};
    size_type pops_{};
    std::uint64_t last_position_{};
};

} // namespace goldcrestwell

#endif
