#ifndef GOLDCRESTWELL_CORE_MESSAGE_DOCUMENT_PULL_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_DOCUMENT_PULL_HPP

#include "goldcrestwell/core/common/log_offset.hpp"

namespace goldcrestwell {

/** @brief Requests the newest operator records after a position from a peer. */
struct document_pull {
    log_offset after;

    [[nodiscard]] friend bool operator==(const document_pull&, const document_pull&) = default;
};

} // namespace goldcrestwell

#endif
