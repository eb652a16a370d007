#ifndef GOLDCRESTWELL_CORE_CONFIG_READ_SCHEDULE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_READ_SCHEDULE_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/config/token_bucket.hpp"

#include <chrono>
#include <optional>

namespace goldcrestwell::internal {

/** @brief Intervals between reads of the log. */
struct read_intervals {
    std::chrono::milliseconds own_read{};
    std::chrono::milliseconds retry_min{};
    std::chrono::milliseconds retry_max{};
};

/** @brief Times of the reads of the log by one node, with at most one outstanding. */
class read_schedule {
public:
    explicit read_schedule(const read_intervals& intervals);

    /** @brief A relay reads all the time; another node only when it wants to. */
    void set_relay(const bool relay) noexcept { relay_ = relay; }
    /** @brief Asks for a read of its own at a time, in place of one asked for before. */
    void want_at(const steady_time at) noexcept { wanted_at_ = at; }
    /** @brief Asks for a read of its own at a time, or earlier if that was asked for before. */
    void want_by(steady_time at) noexcept;
    void cancel_want() noexcept { wanted_at_.reset(); }
    /** @return True if a read of its own was asked for and has not started. */
    [[nodiscard]] bool wanted() const noexcept { return wanted_at_.has_value(); }

    /** @return Time of the next read; nothing while one is outstanding or none is needed. */
    [[nodiscard]] std::optional<steady_time> next() const noexcept;
    void started(steady_time now) noexcept;
    /**
     * @param progress The read brought something new.
     * @param more The log holds more than was read.
     */
    void succeeded(steady_time now, bool progress, bool more) noexcept;
    /** @param jitter Added to the wait, so that nodes do not retry together. */
    void failed(steady_time now, std::chrono::milliseconds jitter) noexcept;

    /** @return True if the next read may wait at the log for a new record. */
    [[nodiscard]] bool may_wait() const noexcept { return relay_ && at_head_; }
    [[nodiscard]] bool reading() const noexcept { return reading_; }
    /** @return True if the last read failed. */
    [[nodiscard]] bool failing() const noexcept { return failing_; }
    /** @return Wait after the next failure, without jitter. */
    [[nodiscard]] std::chrono::milliseconds retry_wait() const noexcept { return retry_wait_; }

private:
    read_intervals intervals_;
    token_bucket own_reads_;
    std::chrono::milliseconds retry_wait_;
    std::optional<steady_time> wanted_at_;
    steady_time earliest_{};
    bool relay_{};
    bool reading_{};
    bool failing_{};
    bool continuing_{};
    bool at_head_{};
};

} // namespace goldcrestwell::internal

#endif
