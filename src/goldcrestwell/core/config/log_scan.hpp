#ifndef GOLDCRESTWELL_CORE_CONFIG_LOG_SCAN_HPP
#define GOLDCRESTWELL_CORE_CONFIG_LOG_SCAN_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/config/checkpoint_collector.hpp"
#include "goldcrestwell/core/message/record_batch.hpp"

#include <optional>
#include <vector>

namespace goldcrestwell::internal {

/** @brief Searches the log for a complete checkpoint, for a node whose next records have expired. */
class log_scan {
public:
    /** @return Offset after which the next batch has to be read, or an empty optional if no search is in progress. */
    [[nodiscard]] std::optional<log_offset> cursor() const noexcept { return cursor_; }
    /**
     * @brief Handles a batch from the log; starts a search if none is in progress.
     * @return Parts of the newest complete checkpoint after which the log still holds all records, or an empty vector.
     */
    std::vector<checkpoint_part> on_batch(const record_batch& batch);
    void stop() noexcept;

private:
    std::optional<log_offset> cursor_;
    checkpoint_collector collector_;
};

/** @return True if some records after a position have expired from the log, false otherwise. */
[[nodiscard]] bool has_gap_after(const record_batch& batch, log_offset position) noexcept;

} // namespace goldcrestwell::internal

#endif
