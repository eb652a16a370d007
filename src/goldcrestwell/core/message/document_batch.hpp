#ifndef GOLDCRESTWELL_CORE_MESSAGE_DOCUMENT_BATCH_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_DOCUMENT_BATCH_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/operator_record.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief The newest record of each key that was written after the position asked for. */
struct document_batch {
    /** @brief Position that the sender has read to. */
    log_offset through;
    std::vector<operator_record> records;

    [[nodiscard]] friend bool operator==(const document_batch&, const document_batch&) = default;
};

} // namespace goldcrestwell

#endif
