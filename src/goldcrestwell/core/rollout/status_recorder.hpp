#ifndef GOLDCRESTWELL_CORE_ROLLOUT_STATUS_RECORDER_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_STATUS_RECORDER_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/store_era.hpp"
#include "goldcrestwell/core/message/rollout_status.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace goldcrestwell {

/** @brief Hooks of a `status_recorder`; all are required. */
struct status_recorder_options {
    /** @brief Reads the recorded statuses. */
    std::function<void()> read;
    /** @brief Writes a status if the topic still ends at that position. */
    std::function<void(const rollout_status& status, log_offset position)> write;
    /** @brief Reports a status that the store holds. */
    std::function<void(const rollout_status&)> recorded;
};

/**
 * @brief Records the statuses of rollouts; the first recorded end of a rollout is final.
 *
 * Each write is conditional on the end of the topic at the last read, so that neither another node with a different
 * result nor a delayed write can replace an end. Callers repeat `record` until the `recorded` hook is called.
 *
 * Offsets of a replaced history are given out again, so a result counts only if its call started in the present one.
 */
class status_recorder {
public:
    explicit status_recorder(status_recorder_options options);

    void record(const rollout_status& status);
    /** @brief Reads the recorded statuses without writing one. */
    void refresh();
    /** @param statuses Empty if the read failed. @param end End of the topic at the read. */
    void on_read(const std::optional<std::vector<rollout_status>>& statuses, log_offset end);
    /** @param confirmed False if the write was refused or its result is unknown. */
    void on_written(bool confirmed);
    /** @brief Discards what the calls in flight return, because the store has returned from an older copy. */
    void on_history_replaced();

private:
    void read();
    void write_next(log_offset end);

    status_recorder_options options_;
    std::map<service_name, rollout_status> pending_;
    std::optional<rollout_status> in_flight_;
    bool read_in_progress_{};
    /** @brief True if the call in flight started before the history of the store was replaced. */
    bool call_outdated_{};
    /** @brief Latest history of which a status was read. */
    store_era era_;
};

} // namespace goldcrestwell

#endif
