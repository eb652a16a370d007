#ifndef GOLDCRESTWELL_CORE_MESSAGE_TABLE_EDIT_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_TABLE_EDIT_HPP

#include "goldcrestwell/core/common/edit_id.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/row_change.hpp"

#include <vector>

namespace goldcrestwell {

/** @brief Change of the table by an operator; accepted or rejected as a whole. */
struct table_edit {
    edit_id id;
    wall_time created_at{};
    std::vector<row_change> changes;

    [[nodiscard]] friend bool operator==(const table_edit&, const table_edit&) = default;
};

} // namespace goldcrestwell

#endif
