#include "goldcrestwell/codec/csv_text.hpp"
#include "goldcrestwell/codec/iso_time.hpp"
#include "goldcrestwell/codec/table_columns.hpp"
#include "goldcrestwell/codec/table_csv.hpp"

namespace goldcrestwell {

namespace {

constexpr std::array<std::string_view, 6> state_names{"pending", "moving", "done", "taken_back", "late", "rejected"};
constexpr std::uint32_t parts_per_percent = 10'000;
constexpr std::size_t percent_digits = 4;

std::string percent(const share value) {
    std::string text = std::to_string(value.value() / parts_per_percent);
    const std::uint32_t rest = value.value() % parts_per_percent;
    if (rest == 0) {
        return text;
    }
    const std::string digits = std::to_string(rest);
    text.append(".").append(percent_digits - digits.size(), '0').append(digits);
    text.erase(text.find_last_not_of('0') + 1);
    return text;
}

using fields = std::array<std::string, internal::table_column_count>;

fields fields_of_line(const table_line& line) {
    const auto& values = line.values;
    return {line.key.route.value,
            values.service.value,
            line.key.version.value,
            std::to_string(values.weight),
            values.deadline ? to_iso8601(*values.deadline) : "",
            std::to_string(values.limits.max_in_flight),
            std::to_string(values.limits.max_connections),
            std::to_string(values.limits.max_queue),
            std::to_string(values.limits.timeout.count()),
            values.idempotent ? "true" : "false",
            values.on_thin_evidence == thin_evidence_policy::proceed ? "proceed" : "hold",
            std::to_string(line.row_version.value()),
            std::string{to_string(line.state)},
            percent(line.share),
            line.reason};
}

template <typename Texts>
void append_row(std::string& to, const Texts& texts) {
    const char* separator = "";
    for (const auto& text : texts) {
        to.append(separator).append(internal::csv_field(text));
        separator = ",";
    }
    to += '\n';
}

} // namespace

std::string encode(const std::span<const table_line> lines) {
    std::string text;
    append_row(text, internal::table_column_names);
    for (const auto& line : lines) {
        append_row(text, fields_of_line(line));
    }
    return text;
}

} // namespace goldcrestwell
