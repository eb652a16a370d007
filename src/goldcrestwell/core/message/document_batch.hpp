#ifndef GOLDCRESTWELL_CORE_MESSAGE_DOCUMENT_BATCH_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_DOCUMENT_BATCH_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/operator_record.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Newest record of each key that was written after the position in the pull. */
struct document_batch {
    /** @brief Offset of the last record that the sender has read. */
    log_offset through;
    std::vector<operator_record> records;

    [[nodiscard]] friend bool operator==(const document_batch&, const document_batch&) = default;
};

} // namespace goldcrestwell

#endif
