#include "goldcrestwell/codec/table_csv.hpp"

#include <map>

namespace goldcrestwell {

std::vector<row_change> changed_rows(const std::span<const table_line> current, const table_file& file) {
    std::map<row_key, const table_line*> lines;
    for (const auto& line : current) {
        lines.emplace(line.key, &line);
    }
    std::vector<row_change> changes;
    for (const auto& row : file.rows) {
        const auto found = lines.find(row.key);
        const bool exists = found != lines.end();
        const bool same = exists ? row.values == found->second->values : !row.values.has_value();
        if (same) {
            continue;
        }
        row_change& change = changes.emplace_back(row);
        if (!file.has_row_versions) {
            change.expected = exists ? found->second->row_version : log_offset{};
        }
    }
    return changes;
}

} // namespace goldcrestwell
