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
    /** @brief Time after which a departure that is not recorded is answered without acknowledgement. */
    std::chrono::milliseconds max_answer_delay{900};
    /** @brief Bounds of the delay after a failed write; it doubles with each failure. */
    std::chrono::milliseconds min_retry_delay{100};
    std::chrono::milliseconds max_retry_delay{500};
    /** @brief Writes the departures to the store, in place of those written before; ends with `on_written`. */
    std::function<void(const std::vector<upstream_departure>& departures)> write;
    /** @brief Called when a departure is answered; it is acknowledged if it is `recorded`. */
    std::function<void(const upstream_departure& departure, bool recorded)> answered;
};

/**
 * @brief Records in the store that upstreams of this host leave, and acknowledges their departures afterwards.
 *
 * An acknowledged departure is binding, also for the process that follows this one on the host. That process knows
 * nothing else that tells a late heartbeat of the upstream from a start. All processes of the system may end at the
 * same moment, so only the store can hold the departure. An upstream without acknowledgement reports its departure
 * again, and exits after some seconds all the same.
 */
class departure_recorder {
public:
    /** @brief Answers a departure; it is acknowledged if it is `recorded`. */
    using answer_hook = std::function<void(bool recorded)>;

    explicit departure_recorder(departure_recorder_options options);

    /**
     * @brief Records departures. Nothing is written before `start`.
     * @param departures All departures to be recorded, the one that is answered last.
     * @param answer Called once, possibly before this function returns.
     */
    void record(const std::vector<upstream_departure>& departures, answer_hook answer, steady_time now);
    /**
     * @brief Allows writes, because the record of earlier processes was read and does not get lost.
     * @param departures Departures of this process and of earlier ones.
     */
    void start(const std::vector<upstream_departure>& departures);
    /** @return True after `start`. */
    [[nodiscard]] bool started() const noexcept { return started_; }
    /** @return True if a departure is not recorded yet. */
    [[nodiscard]] bool is_waiting() const noexcept { return !pending_.empty(); }
    /** @brief Records all departures again, because the store has returned from an older copy. */
    void on_history_replaced();
    /** @brief Handles the result of the outstanding write. */
    void on_written(bool confirmed, steady_time now);
    void on_timer(steady_time now);
    [[nodiscard]] std::optional<steady_time> next_timer() const noexcept;

private:
    struct waiting_answer {
        answer_hook answer;
        upstream_departure departure;
        steady_time due;
    };

    void write();
    void answer_all();

    departure_recorder_options options_;
    std::chrono::milliseconds retry_delay_;
    bool started_{};
    /** @brief Newest departures of `record` and `start`. */
    std::vector<upstream_departure> known_;
    std::vector<upstream_departure> recorded_;
    /** @brief Departures that are to be recorded; empty if there are none. */
    std::vector<upstream_departure> pending_;
    std::optional<std::vector<upstream_departure>> in_flight_;
    /** @brief True if the write in flight started before the history of the store was replaced. */
    bool in_flight_outdated_{};
    /** @brief Answers in the order in which they are due. */
    std::vector<waiting_answer> waiting_;
    std::optional<steady_time> write_at_;
};

} // namespace goldcrestwell

#endif
