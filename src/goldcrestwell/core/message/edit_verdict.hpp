#ifndef GOLDCRESTWELL_CORE_MESSAGE_EDIT_VERDICT_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_EDIT_VERDICT_HPP

#include "goldcrestwell/core/common/edit_id.hpp"
#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/edit_reason.hpp"
#include "goldcrestwell/core/message/row_key.hpp"

namespace goldcrestwell {

/** @brief Decision of the table reducer on an edit. */
struct edit_verdict {
    edit_id id;
    /** @brief Offset of the edit. */
    log_offset offset;
    edit_reason reason{edit_reason::accepted};
    /** @brief Row that caused a rejection. */
    row_key row;

    [[nodiscard]] bool accepted() const noexcept { return reason == edit_reason::accepted; }
    [[nodiscard]] friend bool operator==(const edit_verdict&, const edit_verdict&) = default;
};

} // namespace goldcrestwell

#endif
