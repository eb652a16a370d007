#ifndef GOLDCRESTWELL_CORE_CONFIG_RECORD_WINDOW_HPP
#define GOLDCRESTWELL_CORE_CONFIG_RECORD_WINDOW_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/record_batch.hpp"
#include "goldcrestwell/core/message/sequenced_record.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace goldcrestwell::internal {

/** @brief The newest records that a node applied, without holes, to answer pulls. */
class record_window {
public:
    record_window(std::size_t max_records, std::size_t max_bytes) : max_records_{max_records}, max_bytes_{max_bytes} {}

    /** @brief Adds a record; its offset is above those of all others. */
    void add(const sequenced_record& record);
    /** @brief Forgets all records; those above the offset will follow. */
    void reset(log_offset after);
    /** @return True if the window holds all records above the offset. */
    [[nodiscard]] bool reaches(const log_offset after) const noexcept { return after >= after_; }
    /**
     * @param after Offset that the window reaches.
     * @param position Offset up to which records were applied.
     * @return The next records, as many as fit into the size and at least one if there is one.
     */
    [[nodiscard]] record_batch batch(log_offset after, log_offset position, std::size_t max_bytes) const;

private:
    struct item {
        sequenced_record record;
        std::size_t bytes{};
    };

    std::size_t max_records_;
    std::size_t max_bytes_;
    std::deque<item> items_;
    std::size_t bytes_{};
    log_offset after_;
};

} // namespace goldcrestwell::internal

#endif
