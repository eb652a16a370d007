#ifndef GOLDCRESTWELL_CORE_MESSAGE_SEQUENCED_RECORD_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_SEQUENCED_RECORD_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/log_record.hpp"

namespace goldcrestwell {

/** @brief Log record with its offset. */
struct sequenced_record {
    log_offset offset;
    log_record record;

    [[nodiscard]] friend bool operator==(const sequenced_record&, const sequenced_record&) = default;
};

} // namespace goldcrestwell

#endif
