#ifndef GOLDCRESTWELL_CORE_ROLLOUT_STATUS_RECORDER_HPP
#define GOLDCRESTWELL_CORE_ROLLOUT_STATUS_RECORDER_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/rollout_status.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace goldcrestwell {

/** @brief Effects of a `status_recorder`; every hook must be set. */
struct status_recorder_options {
    /** @brief Reads the recorded states. */
    std::function<void()> read;
    /** @brief Writes a state if the topic still ends at that position. */
    std::function<void(const rollout_status& status, log_offset at)> write;
    /** @brief The store holds this state. */
    std::function<void(const rollout_status&)> recorded;
};

/**
 * @brief Records states of rollouts so that the first recorded end of a rollout stands.
 *
 * Each write is conditional on the position at which the states were read, so a second node that decided otherwise, or
 * a write that the store carries out late, can not replace an end. Whoever asked repeats `record` until `recorded`.
 */
class status_recorder {
public:
    explicit status_recorder(status_recorder_options options);

    void record(const rollout_status& status);
    /** @brief Reads the recorded states without writing one. */
    void refresh();
    /** @param statuses Nothing if the read failed. @param end Position that they were read at. */
    void on_read(const std::optional<std::vector<rollout_status>>& statuses, log_offset end);
    /** @param confirmed False if the write was refused or its outcome is unknown. */
    void on_written(bool confirmed);

private:
    void read();
    void write_next(log_offset end);

    status_recorder_options options_;
    std::map<service_name, rollout_status> wanted_;
    std::optional<rollout_status> writing_;
    bool reading_{};
};

} // namespace goldcrestwell

#endif
