#ifndef GOLDCRESTWELL_CORE_CONFIG_EDIT_VALIDATION_HPP
#define GOLDCRESTWELL_CORE_CONFIG_EDIT_VALIDATION_HPP

#include "goldcrestwell/core/config/table_snapshot.hpp"
#include "goldcrestwell/core/message/edit_reason.hpp"
#include "goldcrestwell/core/message/table_edit.hpp"

namespace goldcrestwell::internal {

/** @brief Reason why an edit is rejected and the row concerned; the reason `accepted` means no defect. */
struct edit_defect {
    edit_reason reason{edit_reason::accepted};
    row_key row;

    [[nodiscard]] bool found() const noexcept { return reason != edit_reason::accepted; }
};

/** @return First defect that can be detected without the table: names, ranges, deadlines, rows named twice. */
[[nodiscard]] edit_defect find_edit_defect(const table_edit& edit);

/** @return First row whose version is not the expected one, or that the edit removes although it does not exist. */
[[nodiscard]] edit_defect find_stale_row(const table_edit& edit, const table_snapshot& table);

/** @return First defect of a route after an edit: rows of different services, or a total weight of zero. */
[[nodiscard]] edit_defect find_route_defect(const route_state& state);

} // namespace goldcrestwell::internal

#endif
