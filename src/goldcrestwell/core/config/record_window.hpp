#ifndef GOLDCRESTWELL_CORE_CONFIG_RECORD_WINDOW_HPP
#define GOLDCRESTWELL_CORE_CONFIG_RECORD_WINDOW_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/record_batch.hpp"
#include "goldcrestwell/core/message/sequenced_record.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace goldcrestwell::internal {

/** @brief The newest records that a node applied, without gaps, to answer pulls. */
class record_window {
public:
    record_window(std::size_t max_records, std::size_t max_bytes) : max_records_{max_records}, max_bytes_{max_bytes} {}

    /** @brief Adds a record, whose offset must be higher than all others; drops the oldest records above the limits. */
    void add(const sequenced_record& record);
    /** @brief Removes all records; the next ones are those after the offset. */
    void reset(log_offset after);
    /** @return True if the window holds all applied records after the offset, false otherwise. */
    [[nodiscard]] bool has_all_after(const log_offset after) const noexcept { return after >= complete_after_; }
    /**
     * @brief Builds a batch from the window.
     * @param after Offset before the first record; the window must hold all records after it.
     * @param position Offset up to which records were applied.
     * @param max_bytes Maximum estimated size of the records.
     * @return The records after the offset that fit into the size; at least one if there is one.
     */
    [[nodiscard]] record_batch batch(log_offset after, log_offset position, std::size_t max_bytes) const;

private:
    struct sized_record {
        sequenced_record record;
        std::size_t bytes{};
    };

    std::size_t max_records_;
    std::size_t max_bytes_;
    std::deque<sized_record> items_;
    std::size_t bytes_{};
    log_offset complete_after_;
};

} // namespace goldcrestwell::internal

#endif
