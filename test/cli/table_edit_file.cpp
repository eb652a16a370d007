#include "goldcrestwell/cli/table_edit_file.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace goldcrestwell;

namespace {

const std::string editable_header{
    "route,service,upstream_version,weight,deadline,max_in_flight,max_connections,max_queue,"
    "timeout_ms,idempotent,on_thin_evidence"};
const std::string table{editable_header + ",row_version,state,share,reason\n" +
                        "/orders,orders,v1,100,,0,0,0,2000,false,proceed,7,done,100,\n" +
                        "/proofs,proofs,v1,100,,0,0,0,2000,false,proceed,9,done,100,\n"};

} // namespace

BOOST_AUTO_TEST_SUITE(table_edit_file_suite)

// Guards against edits of rows that the operator did not change, and against edits without the row version of the
// table in force.
BOOST_AUTO_TEST_CASE(only_changed_rows_are_sent_with_their_row_version) {
    table_edit_file file;
    const auto changes = file.changes(editable_header + "\n/orders,orders,v1,50,,0,0,0,2000,false,proceed\n" +
                                          "/proofs,proofs,v1,100,,0,0,0,2000,false,proceed\n",
                                      table);
    BOOST_REQUIRE(changes.has_value());
    BOOST_REQUIRE(changes->size() == 1U);
    BOOST_TEST(changes->front().key.route.value == "/orders");
    BOOST_TEST(changes->front().expected.value() == 7U);
    BOOST_REQUIRE(changes->front().values.has_value());
    BOOST_TEST(changes->front().values->weight == 50U);
    BOOST_TEST(file.faults().empty());
}

// Guards against a stale file that overwrites a row that was changed since the export.
BOOST_AUTO_TEST_CASE(row_version_of_the_file_is_kept) {
    table_edit_file file;
    const auto changes =
        file.changes(editable_header + ",row_version\n/orders,orders,v1,50,,0,0,0,2000,false,proceed,3\n", table);
    BOOST_REQUIRE(changes.has_value());
    BOOST_REQUIRE(changes->size() == 1U);
    BOOST_TEST(changes->front().expected.value() == 3U);
}

// Guards against partly applied files: one fault rejects the whole file and is reported with its position.
BOOST_AUTO_TEST_CASE(faulty_file_is_refused_with_line_and_column) {
    table_edit_file file;
    BOOST_TEST(!file.changes(editable_header + "\n/orders,orders,v1,50,,0,0,0,2000,false,proceed\n" +
                                 "/proofs,proofs,v1,many,,0,0,0,2000,false,proceed\n",
                             table)
                    .has_value());
    BOOST_REQUIRE(file.faults().size() == 1U);
    BOOST_TEST(file.faults().front().line == 3U);
    BOOST_TEST(file.faults().front().column == 4U);
    BOOST_TEST((file.faults().front().reason == csv_reason::not_an_integer));
    BOOST_TEST(!file.changes(table, "not a table").has_value());
    BOOST_TEST(!file.faults().empty());
}

BOOST_AUTO_TEST_SUITE_END()
