#ifndef GOLDCRESTWELL_CORE_CONFIG_LOG_SCAN_HPP
#define GOLDCRESTWELL_CORE_CONFIG_LOG_SCAN_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/config/checkpoint_collector.hpp"
#include "goldcrestwell/core/message/record_batch.hpp"

#include <optional>
#include <vector>

namespace goldcrestwell::internal {

/** @brief Search of the log for a whole checkpoint by a node whose next records the log no longer holds. */
class log_scan {
public:
    /** @return Offset after which the search reads on; nothing if no search is needed. */
    [[nodiscard]] std::optional<log_offset> cursor() const noexcept { return cursor_; }
    /**
     * @brief Takes a batch from the log.
     * @return Parts of the newest whole checkpoint in it after which the log holds all records; empty if none.
     */
    std::vector<checkpoint_part> on_batch(const record_batch& batch);
    void stop() noexcept;

private:
    std::optional<log_offset> cursor_;
    checkpoint_collector collector_;
};

/** @return True if the log no longer holds all records after a position. */
[[nodiscard]] bool passed_by_retention(const record_batch& batch, log_offset position) noexcept;

} // namespace goldcrestwell::internal

#endif
