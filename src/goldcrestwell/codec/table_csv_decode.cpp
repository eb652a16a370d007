#include "goldcrestwell/codec/csv_text.hpp"
#include "goldcrestwell/codec/iso_time.hpp"
#include "goldcrestwell/codec/table_columns.hpp"
#include "goldcrestwell/codec/table_csv.hpp"
#include "goldcrestwell/codec/wire_limits.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <set>

namespace goldcrestwell {

namespace {

using internal::csv_row;
using internal::table_column;

constexpr std::uint64_t max_weight = 1000;
constexpr std::uint64_t max_count = std::numeric_limits<std::uint32_t>::max();
constexpr std::string_view utf8_byte_order_mark = "\xEF\xBB\xBF";

csv_reason invalid_number_reason(const std::string_view text) {
    if (text.find('%') != std::string_view::npos) {
        return csv_reason::percent_sign;
    }
    const bool numeric = text.find_first_not_of("+-0123456789.,eE") == std::string_view::npos;
    if (numeric && text.find_first_of(".,eE") != std::string_view::npos) {
        return csv_reason::decimal_number;
    }
    return text.starts_with('-') && numeric ? csv_reason::out_of_range : csv_reason::not_an_integer;
}

bool equals_ignoring_case(const std::string_view text, const std::string_view word) {
    return std::ranges::equal(text, word, [](const char left, const char right) {
        return (left >= 'A' && left <= 'Z' ? static_cast<char>(left - 'A' + 'a') : left) == right;
    });
}

bool is_printable(const std::string_view text) {
    return std::ranges::none_of(text, [](const char character) {
        const auto byte = static_cast<unsigned char>(character);
        return byte <= ' ' || byte == 0x7F;
    });
}

class table_decoder {
public:
    explicit table_decoder(std::vector<csv_fault>& faults) : faults_{faults} {}

    [[nodiscard]] table_file decode(const std::string_view text) {
        const auto parsed = internal::split_csv(text);
        if (parsed.rows.empty()) {
            fail_at(parsed.line, parsed.column, "",
                    parsed.reason == csv_reason::none ? csv_reason::no_header : parsed.reason);
        } else if (read_header(parsed.rows.front())) {
            file_.has_row_versions = column_positions_[index_of(table_column::row_version)].has_value();
            for (std::size_t index = 1; index < parsed.rows.size(); ++index) {
                read_row(parsed.rows[index]);
            }
            if (parsed.reason != csv_reason::none) {
                fail_at(parsed.line, parsed.column, header_of(parsed.column), parsed.reason);
            }
        }
        return std::move(file_);
    }

private:
    static constexpr std::size_t index_of(const table_column column) { return static_cast<std::size_t>(column); }

    void fail_at(const std::size_t line, const std::size_t column, const std::string_view header,
                 const csv_reason reason) {
        if (faults_.size() < max_csv_faults) {
            faults_.push_back({.line = line, .column = column, .header = std::string{header}, .reason = reason});
        }
    }
    void fail(const table_column column, const csv_reason reason) {
        const auto position = column_positions_[index_of(column)];
        fail_at(row_->line, position ? *position + 1 : 0, internal::table_column_names[index_of(column)], reason);
    }

    [[nodiscard]] std::string_view header_of(const std::size_t column) const {
        for (std::size_t index = 0; index < column_positions_.size(); ++index) {
            if (column_positions_[index] && *column_positions_[index] + 1 == column) {
                return internal::table_column_names[index];
            }
        }
        return "";
    }

    bool read_header(const csv_row& header) {
        if (header.fields.size() == 1 && header.fields.front().find_first_of(";\t") != std::string::npos) {
            fail_at(header.line, 0, "", csv_reason::wrong_separator);
            return false;
        }
        for (std::size_t position = 0; position < header.fields.size(); ++position) {
            read_header_field(header, position);
        }
        for (std::size_t index = 0; index < internal::required_column_count; ++index) {
            if (!column_positions_[index]) {
                fail_at(header.line, 0, internal::table_column_names[index], csv_reason::missing_column);
            }
        }
        return faults_.empty();
    }

    void read_header_field(const csv_row& header, const std::size_t position) {
        const std::string& name = header.fields[position];
        if (name.empty()) {
            return; // spreadsheets append separators after the last column; fields below them must be empty
        }
        const auto found = std::ranges::find(internal::table_column_names, name);
        if (found == internal::table_column_names.end()) {
            fail_at(header.line, position + 1, name, csv_reason::unknown_column);
            return;
        }
        auto& column_position =
            column_positions_[static_cast<std::size_t>(found - internal::table_column_names.begin())];
        if (column_position) {
            fail_at(header.line, position + 1, name, csv_reason::duplicate_column);
        }
        column_position = position;
    }

    void read_row(const csv_row& row) {
        if (std::ranges::all_of(row.fields, [](const std::string& field) { return field.empty(); })) {
            return;
        }
        row_ = &row;
        report_surplus_fields();
        row_change change{.key = {.route = read_route(), .version = {read_name(table_column::upstream_version)}},
                          .expected = log_offset{read_number(table_column::row_version, max_offset)},
                          .values = std::nullopt};
        if (!field(table_column::weight).empty()) {
            change.values = read_values();
        }
        if (!keys_.insert(change.key).second) {
            fail(table_column::route, csv_reason::duplicate_row);
        }
        file_.rows.push_back(std::move(change));
    }

    void report_surplus_fields() {
        for (std::size_t position = 0; position < row_->fields.size(); ++position) {
            if (!row_->fields[position].empty() && header_of(position + 1).empty()) {
                fail_at(row_->line, position + 1, "", csv_reason::surplus_field);
            }
        }
    }

    row_values read_values() {
        return {.service = {read_name(table_column::service)},
                .weight = static_cast<std::uint32_t>(read_number(table_column::weight, max_weight)),
                .deadline = read_deadline(),
                .limits = {.max_in_flight = read_count(table_column::max_in_flight),
                           .max_connections = read_count(table_column::max_connections),
                           .max_queue = read_count(table_column::max_queue),
                           .timeout = std::chrono::milliseconds{read_number(
                               table_column::timeout_ms, static_cast<std::uint64_t>(max_wire_duration.count()))}},
                .idempotent = read_boolean(),
                .on_thin_evidence = read_policy()};
    }

    [[nodiscard]] const std::string& field(const table_column column) const {
        static const std::string absent;
        const auto position = column_positions_[index_of(column)];
        return position && *position < row_->fields.size() ? row_->fields[*position] : absent;
    }

    route_name read_route() {
        const std::string& text = field(table_column::route);
        if (text.empty()) {
            fail(table_column::route, csv_reason::empty_field);
        } else if (!text.starts_with('/') || !is_printable(text) || text.size() > max_route_bytes) {
            fail(table_column::route, csv_reason::not_a_route);
        }
        return {text};
    }

    std::string read_name(const table_column column) {
        const std::string& text = field(column);
        if (text.empty()) {
            fail(column, csv_reason::empty_field);
        } else if (!is_printable(text) || text.size() > max_name_bytes) {
            fail(column, csv_reason::not_a_name);
        }
        return text;
    }

    // An empty field means zero: no limit for this row or, as a row version, a new row.
    std::uint64_t read_number(const table_column column, const std::uint64_t limit) {
        const std::string& text = field(column);
        std::uint64_t number{};
        if (text.empty()) {
            return number;
        }
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        const bool is_fully_parsed = end == text.data() + text.size();
        if (error == std::errc::result_out_of_range || (is_fully_parsed && error == std::errc{} && number > limit)) {
            fail(column, csv_reason::out_of_range);
            return 0;
        }
        if (error != std::errc{} || !is_fully_parsed) {
            fail(column, invalid_number_reason(text));
            return 0;
        }
        return number;
    }
    std::uint32_t read_count(const table_column column) {
        return static_cast<std::uint32_t>(read_number(column, max_count));
    }

    std::optional<wall_time> read_deadline() {
        const std::string& text = field(table_column::deadline);
        if (text.empty()) {
            return std::nullopt;
        }
        const auto time = parse_iso8601(text);
        if (!time) {
            fail(table_column::deadline, csv_reason::not_a_time);
        }
        return time;
    }

    bool read_boolean() {
        const std::string& text = field(table_column::idempotent);
        const bool value = equals_ignoring_case(text, "true");
        if (!value && !equals_ignoring_case(text, "false")) {
            fail(table_column::idempotent, text.empty() ? csv_reason::empty_field : csv_reason::not_a_boolean);
        }
        return value;
    }

    thin_evidence_policy read_policy() {
        const std::string& text = field(table_column::on_thin_evidence);
        if (text != "proceed" && text != "hold") {
            fail(table_column::on_thin_evidence, text.empty() ? csv_reason::empty_field : csv_reason::not_a_policy);
        }
        return text == "proceed" ? thin_evidence_policy::proceed : thin_evidence_policy::hold;
    }

    static constexpr std::uint64_t max_offset = std::numeric_limits<std::uint64_t>::max();

    std::vector<csv_fault>& faults_;
    std::array<std::optional<std::size_t>, internal::table_column_count> column_positions_;
    std::set<row_key> keys_;
    const csv_row* row_{};
    table_file file_;
};

} // namespace

std::optional<table_file> csv_decoder::decode(std::string_view text) {
    faults_.clear();
    if (text.size() > max_csv_bytes) {
        faults_.push_back({.line = 0, .column = 0, .header = "", .reason = csv_reason::too_large});
        return std::nullopt;
    }
    if (text.starts_with(utf8_byte_order_mark)) {
        text.remove_prefix(utf8_byte_order_mark.size());
    }
    // Spreadsheets may export UTF-16, where nearly every character contains a zero byte.
    if (text.find('\0') != std::string_view::npos) {
        faults_.push_back({.line = 0, .column = 0, .header = "", .reason = csv_reason::wrong_encoding});
        return std::nullopt;
    }
    table_decoder decoder{faults_};
    auto file = decoder.decode(text);
    return faults_.empty() ? std::optional{std::move(file)} : std::nullopt;
}

} // namespace goldcrestwell
