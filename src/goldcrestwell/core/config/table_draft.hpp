#ifndef GOLDCRESTWELL_CORE_CONFIG_TABLE_DRAFT_HPP
#define GOLDCRESTWELL_CORE_CONFIG_TABLE_DRAFT_HPP

#include "goldcrestwell/core/config/edit_validation.hpp"
#include "goldcrestwell/core/config/route_change.hpp"
#include "goldcrestwell/core/config/table_snapshot.hpp"
#include "goldcrestwell/core/message/table_edit.hpp"

#include <cstdint>
#include <memory>

namespace goldcrestwell::internal {

/** @brief The next table while a record is worked out; the table in force is not touched. */
class table_draft {
public:
    using size_type = std::size_t;

    table_draft(const table_snapshot& table, std::uint64_t table_digest);

    /**
     * @brief Takes over all changes of an edit.
     * @return First defect; the draft must then be thrown away.
     */
    [[nodiscard]] edit_defect change(const table_edit& edit, const edit_place& place);
    /** @brief Puts a route in place of its former state; without rows the route is removed. */
    void put(route_state state);

    /** @return True if every reference inside the changed routes has its target. */
    [[nodiscard]] bool closed() const noexcept { return closed_; }
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }
    [[nodiscard]] std::shared_ptr<const table_snapshot> snapshot(log_offset version) const;

private:
    route_tree routes_;
    size_type row_count_{};
    std::uint64_t digest_{};
    bool closed_{true};
};

/** @return True if the table holds every change of an edit at its offset. */
[[nodiscard]] bool holds_edit(const table_snapshot& table, const table_edit& edit, log_offset at);

} // namespace goldcrestwell::internal

#endif
