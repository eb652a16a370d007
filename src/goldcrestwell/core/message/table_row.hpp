#ifndef GOLDCRESTWELL_CORE_MESSAGE_TABLE_ROW_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_TABLE_ROW_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/common/time.hpp"
#include "goldcrestwell/core/message/row_key.hpp"
#include "goldcrestwell/core/message/row_values.hpp"

namespace goldcrestwell {

/** @brief Row of the table. */
struct table_row {
    row_key key;
    /** @brief Offset of the edit that last changed the row. */
    log_offset row_version;
    /** @brief Time of that edit. */
    wall_time changed_at{};
    row_values values;

    [[nodiscard]] friend bool operator==(const table_row&, const table_row&) = default;
};

} // namespace goldcrestwell

#endif
