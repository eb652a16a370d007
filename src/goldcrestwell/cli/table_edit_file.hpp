#ifndef GOLDCRESTWELL_CLI_TABLE_EDIT_FILE_HPP
#define GOLDCRESTWELL_CLI_TABLE_EDIT_FILE_HPP

#include "goldcrestwell/codec/csv_fault.hpp"
#include "goldcrestwell/core/message/row_change.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/** @brief Converts an operator's CSV file to the row changes of an edit. */
class table_edit_file {
public:
    /**
     * @param text The operator's file.
     * @param table The table in force, as exported by a node.
     * @return Rows that differ, or nothing if either text is invalid; `faults` then returns the reasons.
     */
    [[nodiscard]] std::optional<std::vector<row_change>> changes(std::string_view text, std::string_view table);

    [[nodiscard]] const std::vector<csv_fault>& faults() const noexcept { return faults_; }

private:
    std::vector<csv_fault> faults_;
};

} // namespace goldcrestwell

#endif
