#include "goldcrestwell/codec/table_csv.hpp"

#include "goldcrestwell/codec/iso_time.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace goldcrestwell;

namespace {

const std::string header = "route,service,upstream_version,weight,deadline,max_in_flight,max_connections,max_queue,"
                           "timeout_ms,idempotent,on_thin_evidence";
const std::string valid_row = "/orders,desk,v1,900,2026-12-04T12:00:00Z,10,130,50,2000,false,hold";

std::string concatenate(const std::initializer_list<std::string_view> parts) {
    std::string text;
    for (const auto part : parts) {
        text += part;
    }
    return text;
}

table_line example_line() {
    return {.key = {.route = {"/orders"}, .version = {"v1"}},
            .row_version = log_offset{17},
            .values = {.service = {"desk"},
                       .weight = 900,
                       .deadline = parse_iso8601("2026-12-04T12:00:00Z"),
                       .limits = {.max_in_flight = 10,
                                  .max_connections = 130,
                                  .max_queue = 50,
                                  .timeout = std::chrono::milliseconds{2000}},
                       .idempotent = false,
                       .on_thin_evidence = thin_evidence_policy::hold},
            .state = row_state::moving,
            .share = share{125'000},
            .reason = ""};
}

struct bad_file {
    std::string text;
    const char* message;
};

const std::vector<bad_file> bad_files{
    {"", "file: no_header"},
    {"\n\r\n", "file: no_header"},
    {std::string{"r\0o\0", 4}, "file: wrong_encoding"},
    {"route;service;weight\n", "line 1: wrong_separator"},
    {header + ",colour\n", "line 1, column 12 (colour): unknown_column"},
    {header + ",weight\n", "line 1, column 12 (weight): duplicate_column"},
    {header.substr(0, header.rfind(',')) + "\n", "line 1 (on_thin_evidence): missing_column"},
    {header + "\n" + valid_row + ",x\n", "line 2, column 12: surplus_field"},
    {header + "\n" + valid_row + "\n" + valid_row + "\n", "line 3, column 1 (route): duplicate_row"},
    {header + "\n\"a\"b" + valid_row + "\n", "line 2, column 1 (route): bad_quoting"},
    {header + "\n" + valid_row + "\n/a,\"desk", "line 3, column 2 (service): bad_quoting"},
    {header + "\norders,desk,v1,1,,,,,,true,hold\n", "line 2, column 1 (route): not_a_route"},
    {header + "\n/o rders,desk,v1,1,,,,,,true,hold\n", "line 2, column 1 (route): not_a_route"},
    {header + "\n/a,,v1,1,,,,,,true,hold\n", "line 2, column 2 (service): empty_field"},
    {header + "\n/a,desk,,1,,,,,,true,hold\n", "line 2, column 3 (upstream_version): empty_field"},
    {header + "\n/a,\"de\nsk\",v1,1,,,,,,true,hold\n", "line 2, column 2 (service): not_a_name"},
    {header + "\n/a,desk,v1,50%,,,,,,true,hold\n", "line 2, column 4 (weight): percent_sign"},
    {header + "\n/a,desk,v1,\"0,5\",,,,,,true,hold\n", "line 2, column 4 (weight): decimal_number"},
    {header + "\n/a,desk,v1,1.0,,,,,,true,hold\n", "line 2, column 4 (weight): decimal_number"},
    {header + "\n/a,desk,v1,1001,,,,,,true,hold\n", "line 2, column 4 (weight): out_of_range"},
    {header + "\n/a,desk,v1,-1,,,,,,true,hold\n", "line 2, column 4 (weight): out_of_range"},
    {header + "\n/a,desk,v1,many,,,,,,true,hold\n", "line 2, column 4 (weight): not_an_integer"},
    {header + "\n/a,desk,v1,1,,4294967296,,,,true,hold\n", "line 2, column 6 (max_in_flight): out_of_range"},
    {header + "\n/a,desk,v1,1,,,,,99999999999999999999,true,hold\n", "line 2, column 9 (timeout_ms): out_of_range"},
    {header + "\n/a,desk,v1,1,04.12.2026,,,,,true,hold\n", "line 2, column 5 (deadline): not_a_time"},
    {header + "\n/a,desk,v1,1,,,,,,1,hold\n", "line 2, column 10 (idempotent): not_a_boolean"},
    {header + "\n/a,desk,v1,1,,,,,,true,wait\n", "line 2, column 11 (on_thin_evidence): not_a_policy"},
    {header + "\n/a,desk,v1,1\n", "line 2, column 10 (idempotent): empty_field"},
    {header + ",row_version\n" + valid_row + ",x\n", "line 2, column 12 (row_version): not_an_integer"},
    {std::string(max_csv_bytes + 1, 'x'), "file: too_large"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(table_csv)

// Guards against a faulty file that is applied, or rejected without the line and column of the fault.
BOOST_AUTO_TEST_CASE(faults_name_line_and_column) {
    csv_decoder decoder;
    for (const auto& bad : bad_files) {
        BOOST_TEST_CONTEXT(bad.text.substr(0, 300)) {
            BOOST_TEST(!decoder.decode(bad.text).has_value());
            BOOST_REQUIRE(!decoder.faults().empty());
            BOOST_TEST(to_string(decoder.faults().front()) == bad.message);
        }
    }
}

// Guards against wrong line numbers after blank lines and after fields with line breaks.
BOOST_AUTO_TEST_CASE(line_numbers_match_text_editors) {
    csv_decoder decoder;
    const auto text = "\r\n" + header + "\r\n\r\n/a,\"x\r\ny\",v1,1,,,,,,true,hold\r\n/b,desk,v1,2%,,,,,,true,hold\r\n";
    BOOST_TEST(!decoder.decode(text).has_value());
    BOOST_REQUIRE(decoder.faults().size() == 2U);
    BOOST_TEST(decoder.faults()[0].line == 4U);
    BOOST_TEST(decoder.faults()[1].line == 6U);
}

// Guards against rejecting files from common spreadsheet programs.
BOOST_AUTO_TEST_CASE(spreadsheet_files_are_accepted) {
    csv_decoder decoder;
    const auto minimal_file = decoder.decode(header + "\n" + valid_row + "\n");
    BOOST_REQUIRE(minimal_file.has_value());
    BOOST_TEST((minimal_file->rows.front().values == example_line().values));
    const std::vector<std::string> texts{
        concatenate({"\xEF\xBB\xBF", header, "\r\n", valid_row, "\r\n\r\n,,,,,,,,,,\r\n"}),
        concatenate({header, ",,\n", valid_row, ",,\n"}),
        concatenate({header, "\r", valid_row}),
        concatenate({header, "\n/orders, \"desk\" ,v1,900,2026-12-04T12:00:00Z,10,130,50,2000,FALSE,hold\n"}),
    };
    for (const auto& text : texts) {
        const auto file = decoder.decode(text);
        BOOST_REQUIRE_MESSAGE(file.has_value(), text);
        BOOST_TEST((file->rows == minimal_file->rows));
    }
}

// Guards against an export that is treated as a change when it is applied.
BOOST_AUTO_TEST_CASE(applying_an_unchanged_export_changes_nothing) {
    BOOST_TEST(rc::check("export", [](const std::vector<std::uint32_t>& numbers, const bool flag) {
        std::vector<table_line> lines;
        for (const auto number : numbers) {
            table_line line = example_line();
            line.key.version.value = "v,\"" + std::to_string(lines.size());
            line.values.weight = number % 1001;
            line.values.limits.max_queue = number;
            line.values.idempotent = flag;
            line.values.deadline = wall_time{std::chrono::milliseconds{std::uint64_t{number} * 1000}};
            line.share = share{number % full_share.value()};
            lines.push_back(line);
        }
        csv_decoder decoder;
        const auto file = decoder.decode(encode(lines));
        RC_ASSERT(file.has_value());
        RC_ASSERT(file->rows.size() == lines.size());
        RC_ASSERT(changed_rows(lines, *file).empty());
    }));
}

// Guards against an edit without the row version that the operator saw, which the reducer needs to detect conflicts.
BOOST_AUTO_TEST_CASE(changes_carry_the_row_version_of_the_file) {
    const std::vector current{example_line()};
    csv_decoder decoder;
    const auto with_versions = decoder.decode(
        header +
        ",row_version,state\n/orders,desk,v1,500,,,,,,true,hold,12,done\n/orders,desk,v2,1,,,,,,true,hold,,\n");
    BOOST_REQUIRE(with_versions.has_value());
    const auto changes = changed_rows(current, *with_versions);
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(changes[0].expected.value() == 12U);
    BOOST_TEST(changes[1].expected.value() == 0U);
    const auto removal = decoder.decode(header + "\n/orders,,v1,,,,,,,,\n/orders,,v9,,,,,,,,\n");
    BOOST_REQUIRE(removal.has_value());
    const auto removed = changed_rows(current, *removal);
    BOOST_REQUIRE(removed.size() == 1U);
    BOOST_TEST(!removed[0].values.has_value());
    BOOST_TEST(removed[0].expected.value() == 17U);
}

// Guards against deadlines that change when the table is exported, and against accepting dates that do not exist.
BOOST_AUTO_TEST_CASE(times_round_trip) {
    for (const auto* text : {"1970-01-01T00:00:00Z", "2026-12-04T12:00:00Z", "2028-02-29T23:59:59.007Z"}) {
        const auto time = parse_iso8601(text);
        BOOST_REQUIRE(time.has_value());
        BOOST_TEST(to_iso8601(*time) == text);
    }
    for (const auto* text :
         {"", "2026-12-04", "2026-12-04T12:00:00", "2026-12-04 12:00:00Z", "2026-12-04T12:00:00+01:00",
          "2026-02-29T12:00:00Z", "2026-13-01T00:00:00Z", "2026-12-04T24:00:00Z", "2026-12-04T12:60:00Z",
          "2026-12-04T12:00:60Z", "1969-12-31T23:59:59Z", "2026-12-04T12:00:00.1Z", "2026-12-04T12:00:00Zx"}) {
        BOOST_TEST(!parse_iso8601(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
