#include "goldcrestwell/shell/log_client.hpp"

#include "shell/canned_server.hpp"
#include "shell/loop_steps.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace goldcrestwell;
using test::canned_server;
using test::run_until;

namespace {

/** @brief Results reported to the hooks of a client. */
struct hook_results {
    std::optional<record_batch> batch;
    std::size_t failed_reads{};
    std::vector<bool> appends;
};

std::string http_response_with(const std::string& status, const std::string& body) {
    // The canned server sends one response per connection.
    return "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/** @brief Msgpack of a batch without records whose head and last covered offset are 5. */
std::string empty_batch() {
    using namespace std::string_literals;
    return "\x84\xAE"s + "first_retained\x01\xA4head\x05\xA7through\x05\xA7records\x90"s;
}

log_client_options options_for(const canned_server& server, hook_results& results) {
    return {.server = server.address(),
            .request_timeout = std::chrono::milliseconds{300},
            .on_batch = [&results](const record_batch& batch) { results.batch = batch; },
            .on_read_failed = [&results] { ++results.failed_reads; },
            .on_appended =
                [&results](const bool confirmed) {
                    results.appends.push_back(confirmed);
                }};
}

hook_results read_once(const std::string& response, const canned_server::ending end) {
    event_loop loop;
    const canned_server server{loop, response, end};
    hook_results results;
    log_client client{loop, options_for(server, results)};
    client.read(log_offset{3}, std::chrono::milliseconds{0});
    BOOST_TEST(run_until(loop, [&] { return results.batch || results.failed_reads != 0; }));
    return results;
}

} // namespace

BOOST_AUTO_TEST_SUITE(log_client_suite)

// Guards against a batch whose start differs from the requested offset.
BOOST_AUTO_TEST_CASE(read_reports_the_batch) {
    const auto results = read_once(http_response_with("200 OK", empty_batch()), canned_server::ending::stay_open);
    BOOST_REQUIRE(results.batch.has_value());
    BOOST_TEST(results.batch->after.value() == 3U);
    BOOST_TEST(results.batch->through.value() == 5U);
    BOOST_TEST(results.batch->records.empty());
}

// Guards against error, unreadable, truncated or missing responses that are accepted as log batches.
BOOST_AUTO_TEST_CASE(invalid_responses_are_reported_as_failed_reads) {
    const auto stay_open = canned_server::ending::stay_open;
    const auto close = canned_server::ending::close;
    BOOST_TEST(read_once(http_response_with("503 Unavailable", empty_batch()), stay_open).failed_reads == 1U);
    BOOST_TEST(read_once(http_response_with("200 OK", "garbage"), stay_open).failed_reads == 1U);
    BOOST_TEST(read_once("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf", close).failed_reads == 1U);
    BOOST_TEST(read_once("", stay_open).failed_reads == 1U);
}

// Guards against an append that is confirmed without a response, and against losing the append queued behind it.
BOOST_AUTO_TEST_CASE(appends_are_sent_one_at_a_time_and_reported) {
    for (const auto& [response, confirmed] :
         {std::pair{http_response_with("200 OK", "6"), true},
          std::pair{http_response_with("503 Unavailable", ""), false}, std::pair{std::string{}, false}}) {
        event_loop loop;
        const canned_server server{loop, response, canned_server::ending::close};
        hook_results results;
        log_client client{loop, options_for(server, results)};
        client.append(table_edit{.id = {.high = 1, .low = 1}});
        client.append(table_edit{.id = {.high = 1, .low = 2}});
        BOOST_TEST(run_until(loop, [&] { return results.appends.size() == 2; }));
        BOOST_TEST((results.appends == std::vector<bool>{confirmed, confirmed}));
        BOOST_TEST(server.requests() == 2U);
    }
}

// Guards against unbounded memory use during an outage of the log.
BOOST_AUTO_TEST_CASE(pending_appends_are_bounded) {
    event_loop loop;
    const canned_server server{loop, "", canned_server::ending::stay_open};
    hook_results results;
    auto options = options_for(server, results);
    options.max_waiting_appends = 2;
    log_client client{loop, options};
    for (std::uint64_t number = 1; number <= 4; ++number) {
        client.append(table_edit{.id = {.high = 1, .low = number}});
    }
    BOOST_TEST((results.appends == std::vector<bool>{false}));
}

BOOST_AUTO_TEST_SUITE_END()
