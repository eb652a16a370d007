#ifndef GOLDCRESTWELL_CORE_MESSAGE_RECORD_BATCH_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_RECORD_BATCH_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/sequenced_record.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief All log records in the range (after, through]. */
struct record_batch {
    log_offset after;
    std::vector<sequenced_record> records;
    log_offset through;
    /** @brief Last offset of the log when the batch was read. */
    log_offset head;
    /** @brief Oldest offset retained by the log when the batch was read. */
    log_offset first_retained;

    [[nodiscard]] friend bool operator==(const record_batch&, const record_batch&) = default;
};

} // namespace goldcrestwell

#endif
