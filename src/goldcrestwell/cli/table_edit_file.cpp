#include "goldcrestwell/cli/table_edit_file.hpp"

#include "goldcrestwell/codec/table_csv.hpp"

namespace goldcrestwell {

namespace {

std::vector<table_line> to_lines(const table_file& table) {
    std::vector<table_line> lines;
    for (const auto& row : table.rows) {
        if (row.values) {
            lines.push_back({.key = row.key, .row_version = row.expected, .values = *row.values});
        }
    }
    return lines;
}

} // namespace

std::optional<std::vector<row_change>> table_edit_file::changes(const std::string_view text,
                                                                const std::string_view table) {
    csv_decoder decoder;
    const auto current = decoder.decode(table);
    const auto edited = current ? decoder.decode(text) : std::nullopt;
    faults_ = decoder.faults();
    if (!edited) {
        return std::nullopt;
    }
    return changed_rows(to_lines(*current), *edited);
}

} // namespace goldcrestwell
