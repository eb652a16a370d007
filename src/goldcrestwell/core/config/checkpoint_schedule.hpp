#ifndef GOLDCRESTWELL_CORE_CONFIG_CHECKPOINT_SCHEDULE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_CHECKPOINT_SCHEDULE_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/config/checkpoint_collector.hpp"

#include <chrono>
#include <cstddef>
#include <functional>

namespace goldcrestwell::internal {

/** @brief Intervals of a `checkpoint_schedule`. */
struct checkpoint_intervals {
    /** @brief Time for which the log keeps a record; a checkpoint is due after a third of it. */
    std::chrono::milliseconds retention{};
    /** @brief Delay between the writes of two adjacent ranks. */
    std::chrono::milliseconds rank_interval{};
    /** @brief Delay before the next check of a node that has written or could not write. */
    std::chrono::milliseconds retry_delay{};
};

/** @brief Decides when this node writes a checkpoint, without agreement between nodes. */
class checkpoint_schedule {
public:
    explicit checkpoint_schedule(const checkpoint_intervals& intervals) : intervals_{intervals} {}

    void start(steady_time now) noexcept;
    /**
     * @brief Handles a checkpoint part that was read from the log.
     * @param part Header of the part; its content is not used and may be empty.
     * @param is_recent False while a node reads old records after its start; the age of the part is then unknown.
     * @param now Current time.
     */
    void on_part(const checkpoint_part& part, bool is_recent, steady_time now);
    /**
     * @brief Checks whether this node has to write a checkpoint now; if so, the next check follows after
     * `retry_delay`.
     * @param now Current time.
     * @param rank Returns the rank of this node among the live members; called only once a checkpoint is due.
     * @return True if the node has to write a checkpoint now, false otherwise.
     */
    [[nodiscard]] bool start_write_if_due(steady_time now, const std::function<std::size_t()>& rank);
    /** @brief Schedules the next check after `retry_delay`, for a node that cannot write now. */
    void postpone(const steady_time now) noexcept { check_at_ = now + intervals_.retry_delay; }
    /** @return Time of the next check. */
    [[nodiscard]] steady_time next_check() const noexcept { return check_at_; }

private:
    // Ranks change as members join and leave, so a node computes its rank again after this number of rank intervals.
    static constexpr int rank_recheck_intervals = 6;

    checkpoint_intervals intervals_;
    checkpoint_collector collector_;
    log_offset newest_covered_offset_;
    steady_time stale_at_{};
    steady_time check_at_{};
};

} // namespace goldcrestwell::internal

#endif
