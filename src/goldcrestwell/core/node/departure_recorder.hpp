#ifndef GOLDCRESTWELL_CORE_NODE_DEPARTURE_RECORDER_HPP
#define GOLDCRESTWELL_CORE_NODE_DEPARTURE_RECORDER_HPP

#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/upstream_departure.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace goldcrestwell {

/** @brief Delays and hooks of a `departure_recorder`; every hook must be set. */
struct departure_recorder_options {
    /** @brief Time after which a departure is acknowledged even if it is not recorded; an upstream waits for 1 s. */
    std::chrono::milliseconds max_acknowledgement_delay{500};
    /** @brief Bounds of the delay after a failed write; it doubles with each failure. */
    std::chrono::milliseconds min_retry_delay{100};
    std::chrono::milliseconds max_retry_delay{1'000};
    /** @brief Writes a departure to the store; ends with `on_written`. */
    std::function<void(const upstream_departure& departure)> write;
    /** @brief Called when a departure is acknowledged; not `recorded` if the store did not confirm it in time. */
    std::function<void(const upstream_departure& departure, bool recorded)> acknowledged;
};

/**
 * @brief Records in the store that the local upstream leaves, and acknowledges its departure afterwards.
 *
 * An acknowledged departure is binding, also for the process that follows this one on the host. That process knows
 * nothing else that tells a late heartbeat of the upstream from a start.
 */
class departure_recorder {
public:
    using acknowledge_hook = std::function<void()>;

    explicit departure_recorder(departure_recorder_options options);

    /** @brief Records a departure; `acknowledge` is called once, possibly before this function returns. */
    void record(const upstream_departure& departure, acknowledge_hook acknowledge, steady_time now);
    /** @brief Handles the result of the outstanding write. */
    void on_written(bool confirmed, steady_time now);
    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept;

private:
    void write();
    void acknowledge_all(const upstream_departure& departure, bool recorded);

    departure_recorder_options options_;
    std::chrono::milliseconds retry_delay_;
    std::optional<upstream_departure> recorded_;
    /** @brief Departure that is to be recorded. */
    std::optional<upstream_departure> pending_;
    std::optional<upstream_departure> in_flight_;
    std::vector<acknowledge_hook> waiting_;
    std::optional<steady_time> acknowledge_at_;
    std::optional<steady_time> write_at_;
};

} // namespace goldcrestwell

#endif
