#ifndef GOLDCRESTWELL_CORE_MESSAGE_ROW_CHANGE_HPP
#define GOLDCRESTWELL_CORE_MESSAGE_ROW_CHANGE_HPP

#include "goldcrestwell/core/common/log_offset.hpp"
#include "goldcrestwell/core/message/row_key.hpp"
#include "goldcrestwell/core/message/row_values.hpp"

#include <optional>

namespace goldcrestwell {

/** @brief Change of one row; a change without values removes the row. */
struct row_change {
    row_key key;
    /** @brief Row version on which the change is based; zero for a new row. */
    log_offset expected;
    std::optional<row_values> values;

    [[nodiscard]] friend bool operator==(const row_change&, const row_change&) = default;
};

} // namespace goldcrestwell

#endif
