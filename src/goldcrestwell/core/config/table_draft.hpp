#ifndef GOLDCRESTWELL_CORE_CONFIG_TABLE_DRAFT_HPP
#define GOLDCRESTWELL_CORE_CONFIG_TABLE_DRAFT_HPP

#include "goldcrestwell/core/config/edit_validation.hpp"
#include "goldcrestwell/core/config/route_change.hpp"
#include "goldcrestwell/core/config/table_snapshot.hpp"
#include "goldcrestwell/core/message/table_edit.hpp"

#include <cstdint>
#include <memory>

namespace goldcrestwell::internal {

/** @brief Copy of the table to which a record is applied; the current table is not modified. */
class table_draft {
public:
    using size_type = std::size_t;

    table_draft(const table_snapshot& table, std::uint64_t table_digest);

    /**
     * @brief Applies all changes of an edit.
     * @return First defect; the draft must then be discarded.
     */
    [[nodiscard]] edit_defect apply(const table_edit& edit, const edit_origin& origin);
    /** @brief Replaces the state of a route; a state without rows removes the route. */
    void put(route_state state);

    /** @return True if the states of all changed routes are consistent, false otherwise. */
    [[nodiscard]] bool is_consistent() const noexcept { return consistent_; }
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }
    [[nodiscard]] std::shared_ptr<const table_snapshot> snapshot(log_offset version) const;

private:
    route_tree routes_;
    size_type row_count_{};
    std::uint64_t digest_{};
    bool consistent_{true};
};

/** @return True if the table contains every change of an edit at its offset, false otherwise. */
[[nodiscard]] bool contains_edit(const table_snapshot& table, const table_edit& edit, log_offset offset);

} // namespace goldcrestwell::internal

#endif
