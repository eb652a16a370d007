#ifndef GOLDCRESTWELL_CORE_CONFIG_READ_SCHEDULE_HPP
#define GOLDCRESTWELL_CORE_CONFIG_READ_SCHEDULE_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/config/token_bucket.hpp"

#include <chrono>
#include <optional>

namespace goldcrestwell::internal {

/** @brief Intervals of a `read_schedule`. */
struct read_intervals {
    /** @brief Average interval between direct reads. */
    std::chrono::milliseconds direct_read{};
    /** @brief Bounds of the delay after a failed read; it doubles with each failure. */
    std::chrono::milliseconds min_retry_delay{};
    std::chrono::milliseconds max_retry_delay{};
};

/** @brief Schedules the reads of the log by one node; at most one read is outstanding. */
class read_schedule {
public:
    explicit read_schedule(const read_intervals& intervals);

    /** @brief Sets the role: a relay reads continuously, another node only when a direct read is requested. */
    void set_relay(const bool relay) noexcept { relay_ = relay; }
    /** @brief Requests a direct read at a time; replaces an earlier request. */
    void request_read_at(const steady_time time) noexcept { requested_read_at_ = time; }
    /** @brief Requests a direct read at a time, unless one is requested for an earlier time. */
    void request_read_by(steady_time time) noexcept;
    void cancel_read_request() noexcept { requested_read_at_.reset(); }
    /** @return True if a direct read is requested and has not started, false otherwise. */
    [[nodiscard]] bool is_read_requested() const noexcept { return requested_read_at_.has_value(); }

    /** @return Time of the next read, or an empty optional while one is outstanding or none is needed. */
    [[nodiscard]] std::optional<steady_time> next() const noexcept;
    void started(steady_time now) noexcept;
    /**
     * @brief Handles a successful read.
     * @param now Time at which it ended.
     * @param progress True if the read returned something new.
     * @param more True if the log holds further records.
     */
    void succeeded(steady_time now, bool progress, bool more) noexcept;
    /**
     * @brief Handles a failed read.
     * @param now Time at which it ended.
     * @param jitter Added to the delay, so that nodes do not retry at the same time.
     */
    void failed(steady_time now, std::chrono::milliseconds jitter) noexcept;

    /**
     * @return True if the next read may be a long poll, false otherwise. After a failure it may not: a long poll to a
     * log that does not respond would hide the end of the outage.
     */
    [[nodiscard]] bool may_long_poll() const noexcept { return relay_ && at_head_ && !failing_; }
    [[nodiscard]] bool reading() const noexcept { return reading_; }
    /** @return True if the last read failed, false otherwise. */
    [[nodiscard]] bool failing() const noexcept { return failing_; }
    /** @return Delay after the next failure, without jitter. */
    [[nodiscard]] std::chrono::milliseconds retry_delay() const noexcept { return retry_delay_; }

private:
    read_intervals intervals_;
    token_bucket read_budget_;
    std::chrono::milliseconds retry_delay_;
    std::optional<steady_time> requested_read_at_;
    steady_time earliest_read_at_{};
    bool relay_{};
    bool reading_{};
    bool failing_{};
    bool continuing_{};
    bool at_head_{};
};

} // namespace goldcrestwell::internal

#endif
