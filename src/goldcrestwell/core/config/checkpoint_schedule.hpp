#ifndef GOLDCRESTWELL_CORE_CONFIG_CHECKPOINT_SCHEDULE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_CHECKPOINT_SCHEDULE_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/config/checkpoint_collector.hpp"

#include <chrono>
#include <cstddef>
#include <functional>

namespace goldcrestwell::internal {

/** @brief Intervals of the schedule. */
struct checkpoint_intervals {
    std::chrono::milliseconds retention{};
    std::chrono::milliseconds rank_interval{};
    std::chrono::milliseconds retry{};
};

/** @brief Decides when this node writes a checkpoint; needs no agreement between nodes. */
class checkpoint_schedule {
public:
    explicit checkpoint_schedule(const checkpoint_intervals& intervals) : intervals_{intervals} {}

    void start(steady_time now) noexcept;
    /**
     * @brief A checkpoint part was read from the log.
     * @param part Its content is not needed and may be empty.
     * @param recent False while old records are read after a start; the part's age is then unknown.
     */
    void on_part(const checkpoint_part& part, bool recent, steady_time now);
    /**
     * @param rank Computes the node's rank among the live members; called only when the newest checkpoint is old.
     * @return True if the node shall write now; a further write waits for the retry interval.
     */
    [[nodiscard]] bool due(steady_time now, const std::function<std::size_t()>& rank);
    /** @brief This node cannot write now; it looks again after the retry interval. */
    void postpone(const steady_time now) noexcept { check_at_ = now + intervals_.retry; }
    /** @return Time of the next call of `due`. */
    [[nodiscard]] steady_time next() const noexcept { return check_at_; }

private:
    // Ranks change as members come and go, so a node with a long wait looks at its rank again.
    static constexpr int rank_checks = 6;

    checkpoint_intervals intervals_;
    checkpoint_collector collector_;
    log_offset newest_covers_;
    steady_time old_at_{};
    steady_time check_at_{};
};

} // namespace goldcrestwell::internal

#endif
