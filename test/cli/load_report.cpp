#include "goldcrestwell/cli/load_report.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;
using std::chrono::microseconds;

namespace {

upstream_result make_response(const std::uint32_t status, std::vector<http_header> headers = {}) {
    return {.outcome = upstream_outcome::answered, .response = {.status = status, .headers = std::move(headers)}};
}

upstream_result make_refusal(const std::string& outcome, const std::string& reason) {
    return make_response(
        503, {{.name = "goldcrestwell-outcome", .value = outcome}, {.name = "goldcrestwell-reason", .value = reason}});
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_report_tests)

// Guards against accepting the response to another request, and against ids that are prefixes of other ids.
BOOST_AUTO_TEST_CASE(owner_is_determined_by_the_request_id) {
    const request_ids ids{7};
    const auto expected = ids.id(1);
    const auto in_body = [&ids](const std::uint64_t number) {
        return http_response{.status = 200, .body = "{\"request_id\":\"" + ids.id(number) + "\"}"};
    };
    BOOST_TEST((ids.owner(in_body(1), expected) == response_owner::own));
    BOOST_TEST((ids.owner(in_body(11), expected) == response_owner::foreign));
    BOOST_TEST((ids.owner({.status = 200, .body = "ok"}, expected) == response_owner::absent));
    auto crossed = in_body(1);
    crossed.headers.push_back({.name = "X-Request-Id", .value = ids.id(2)});
    BOOST_TEST((ids.owner(crossed, expected) == response_owner::foreign));
}

// Guards against counting or timing refusals, unknown outcomes and errors as successful responses.
BOOST_AUTO_TEST_CASE(results_are_counted_by_kind) {
    load_report report;
    report.add(make_response(200), microseconds{1000});
    report.add(make_refusal("not-run", "draining"), microseconds{1});
    report.add(make_refusal("unknown", "peer_lost"), microseconds{1});
    report.add(make_response(500), microseconds{1});
    report.add({.outcome = upstream_outcome::timed_out}, microseconds{1});
    BOOST_TEST(report.calls() == 5U);
    BOOST_TEST(report.answered() == 1U);
    BOOST_TEST(report.quantile(0.5)->count() == 1000);
    const auto table = report.table(std::chrono::seconds{1});
    for (const auto* line : {"refused not run: draining", "error: status 500", "error: timed out"}) {
        BOOST_TEST(table.find(line) != std::string::npos, line);
    }
}

// Guards against a percentile that is off by one rank, which hides the slowest calls.
BOOST_AUTO_TEST_CASE(quantiles_use_the_nearest_rank) {
    load_report report;
    BOOST_TEST(!report.quantile(0.99).has_value());
    for (int latency = 100; latency >= 1; --latency) {
        report.add(make_response(200), microseconds{latency});
    }
    BOOST_TEST(report.quantile(0.5)->count() == 50);
    BOOST_TEST(report.quantile(0.99)->count() == 99);
    BOOST_TEST(report.quantile(1.0)->count() == 100);
}

BOOST_AUTO_TEST_SUITE_END()
