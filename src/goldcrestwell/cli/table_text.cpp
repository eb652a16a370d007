#include "goldcrestwell/cli/table_text.hpp"

#include "goldcrestwell/codec/csv_text.hpp"

#include <algorithm>
#include <vector>

namespace goldcrestwell {

namespace {

using column_widths = std::vector<std::size_t>;

/** @return Width of each column; zero if no row has a value in it. */
column_widths measure_columns(const std::vector<internal::csv_row>& rows) {
    column_widths result(rows.front().fields.size());
    for (std::size_t row = 1; row < rows.size(); ++row) {
        const auto& fields = rows[row].fields;
        for (std::size_t column = 0; column < std::min(fields.size(), result.size()); ++column) {
            result[column] = std::max(result[column], fields[column].size());
        }
    }
    for (std::size_t column = 0; column < result.size(); ++column) {
        if (result[column] != 0) {
            result[column] = std::max(result[column], rows.front().fields[column].size());
        }
    }
    return result;
}

void append_line(std::string& text, const internal::csv_row& row, const column_widths& columns) {
    std::string line;
    for (std::size_t column = 0; column < std::min(row.fields.size(), columns.size()); ++column) {
        if (columns[column] != 0) {
            line += row.fields[column];
            line.append(columns[column] - row.fields[column].size() + 2, ' ');
        }
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
}

} // namespace

std::string to_aligned_text(const std::string_view csv) {
    const auto parsed = internal::split_csv(csv);
    if (parsed.rows.size() < 2) {
        return "the table has no rows\n";
    }
    const auto columns = measure_columns(parsed.rows);
    std::string text;
    for (const auto& row : parsed.rows) {
        append_line(text, row, columns);
    }
    return text;
}

} // namespace goldcrestwell
