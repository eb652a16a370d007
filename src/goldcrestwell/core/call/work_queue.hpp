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

/** @brief What decides about the turn of a waiting attempt. */
struct queue_key {
    /** @brief Nodes passed since the first caller: a refused call of a request wastes the run of that request. */
    std::uint32_t depth{};
    /** @brief 0 is the most urgent. */
    std::uint32_t priority{};
    /** @brief When the answer should be there; the latest time if no objective is stated. */
    steady_time due{steady_time::max()};
};

/**
 * @brief Attempts waiting for a slot, and the calls running, by row.
 *
 * Attempts that can still be answered when they are due go first: calls of running requests before new requests, then
 * the most urgent ones, then the earliest due. Attempts that will be late get the turns that are left, so that in an
 * overload slots are not spent on answers that have lost their value. One turn in `turns_by_arrival` goes to the
 * attempt in time that has waited longest, so that urgent routes do not starve the others. Without objectives the order
 * is that of arrival.
 */
class work_queue {
public:
    using size_type = std::size_t;
    /** @brief Urgent routes may take all turns but one in this number. */
    static constexpr size_type fifo_interval = 12;
    /** @brief Time that a call of a row takes. */
    using service_time_hook = std::function<std::chrono::microseconds(const row_key&)>;

    void push(const row_key& row, const attempt_id& id, const queue_key& key = {});
    void erase(const row_key& row, const attempt_id& id);
    /**
     * @param row_limit Calls of a row that may run now.
     * @param needed Time that a call of a row takes.
     */
    [[nodiscard]] std::optional<attempt_id> pop(const std::function<std::uint32_t(const attempt_id&)>& row_limit,
                                                const service_time_hook& service_time, steady_time now);

    void on_started(const row_key& row) { ++rows_[row].running; }
    void on_finished(const row_key& row);

    /** @return Slot time of the waiting attempts that get their turn before a new one of that rank. */
    [[nodiscard]] std::chrono::microseconds work_before(const queue_key& key, const service_time_hook& service_time,
                                                        steady_time now) const;
    /** @return Waiting attempts that will be late. */
    [[nodiscard]] size_type late_count(const service_time_hook& service_time, steady_time now) const;
    [[nodiscard]] size_type queued(const row_key& row) const;
    [[nodiscard]] std::uint32_t running(const row_key& row) const;
    [[nodiscard]] size_type size() const noexcept { return size_; }

private:
    using queue_position = std::pair<steady_time, std::uint64_t>;
    struct row_state {
        /** @brief Of the attempt that came last; the calls of a row mostly have the same. */
        queue_key key;
        std::map<queue_position, attempt_id> waiting;
        std::map<attempt_id, queue_position> positions;
        std::uint32_t running{};
    };
    /** @brief First attempt of a row that is in time, and whether there is one. */
    struct row_head {
        std::map<queue_position, attempt_id>::const_iterator entry;
        bool in_time{};
    };

    /** @return True if attempts of the row go before new ones of that rank whenever they are due. */
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
