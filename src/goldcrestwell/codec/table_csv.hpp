#ifndef GOLDCRESTWELL_CODEC_TABLE_CSV_HPP
#define GOLDCRESTWELL_CODEC_TABLE_CSV_HPP

#include "goldcrestwell/codec/csv_fault.hpp"
#include "goldcrestwell/codec/table_line.hpp"
#include "goldcrestwell/core/message/row_change.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestwell {

/** @brief Maximum size of a table file in bytes; 9,800 rows of 100 bytes are below 1 MB. */
inline constexpr std::size_t max_csv_bytes = std::size_t{8} << 20U;
/** @brief Maximum number of faults reported per file. */
inline constexpr std::size_t max_csv_faults = 100;

/** @return The table as CSV with a header row. Shares are written in percent without a percent sign. */
[[nodiscard]] std::string encode(std::span<const table_line> lines);

/** @brief Decoded CSV file of an operator. */
struct table_file {
    /** @brief One change per row; a row with an empty weight is removed from the table. */
    std::vector<row_change> rows;
    /** @brief Whether the file has the column `row_version`. */
    bool has_row_versions{};
};

/** @brief Decodes an operator's CSV file. */
class csv_decoder {
public:
    /** @return The file's rows, or nothing if it has any faults; `faults` then returns them. */
    [[nodiscard]] std::optional<table_file> decode(std::string_view text);

    /** @return The faults of the last file, at most `max_csv_faults`. */
    [[nodiscard]] const std::vector<csv_fault>& faults() const noexcept { return faults_; }

    /** @return The reason of the first fault, `none` after a success. */
    [[nodiscard]] csv_reason last_reason() const noexcept {
        return faults_.empty() ? csv_reason::none : faults_.front().reason;
    }

private:
    std::vector<csv_fault> faults_;
};

/**
 * @brief Compares an operator's file with the table.
 * @return The rows that differ, each with the row version that the operator saw. For a file without row versions,
 * this is the current row version. Rows that are missing in the file do not change.
 */
[[nodiscard]] std::vector<row_change> changed_rows(std::span<const table_line> current, const table_file& file);

} // namespace goldcrestwell

#endif
