#include "goldcrestwell/shell/log_client.hpp"

#include "shell/canned_server.hpp"
#include "shell/loop_steps.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace goldcrestwell;
using test::canned_server;
using test::run_until;

namespace {

/** @brief What the hooks of a client reported. */
struct log_outcome {
    std::optional<record_batch> batch;
    std::size_t failed_reads{};
    std::vector<bool> appends;
};

std::string http_answer_with(const std::string& status, const std::string& body) {
    // The canned server answers once a connection.
    return "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/** @brief An empty part of the log with the head and the last covered offset 5, as msgpack. */
std::string empty_batch() {
    using namespace std::string_literals;
    return "\x84\xAE"s + "first_retained\x01\xA4head\x05\xA7through\x05\xA7records\x90"s;
}

log_client_options options_for(const canned_server& server, log_outcome& outcome) {
    return {.server = server.address(),
            .request_timeout = std::chrono::milliseconds{300},
            .on_batch = [&outcome](const record_batch& batch) { outcome.batch = batch; },
            .on_read_failed = [&outcome] { ++outcome.failed_reads; },
            .on_appended =
                [&outcome](const bool confirmed) {
                    outcome.appends.push_back(confirmed);
                }};
}

log_outcome read_once(const std::string& answer, const canned_server::ending end) {
    event_loop loop;
    const canned_server server{loop, answer, end};
    log_outcome outcome;
    log_client client{loop, options_for(server, outcome)};
    client.read(log_offset{3}, std::chrono::milliseconds{0});
    BOOST_TEST(run_until(loop, [&] { return outcome.batch || outcome.failed_reads != 0; }));
    return outcome;
}

} // namespace

BOOST_AUTO_TEST_SUITE(log_client_suite)

// Guards against a batch that does not start where the read did.
BOOST_AUTO_TEST_CASE(read_passes_on_the_batch) {
    const auto outcome = read_once(http_answer_with("200 OK", empty_batch()), canned_server::ending::stay_open);
    BOOST_REQUIRE(outcome.batch.has_value());
    BOOST_TEST(outcome.batch->after.value() == 3U);
    BOOST_TEST(outcome.batch->through.value() == 5U);
    BOOST_TEST(outcome.batch->records.empty());
}

// Guards against a refused, unreadable, cut or missing answer that is taken for a part of the log.
BOOST_AUTO_TEST_CASE(unusable_answers_are_failed_reads) {
    const auto stay = canned_server::ending::stay_open;
    const auto close = canned_server::ending::close;
    BOOST_TEST(read_once(http_answer_with("503 Unavailable", empty_batch()), stay).failed_reads == 1U);
    BOOST_TEST(read_once(http_answer_with("200 OK", "garbage"), stay).failed_reads == 1U);
    BOOST_TEST(read_once("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf", close).failed_reads == 1U);
    BOOST_TEST(read_once("", stay).failed_reads == 1U);
}

// Guards against an append that is reported as done without an answer, and against one lost behind it.
BOOST_AUTO_TEST_CASE(appends_are_sent_one_after_the_other_and_reported) {
    for (const auto& [answer, confirmed] :
         {std::pair{http_answer_with("200 OK", "6"), true}, std::pair{http_answer_with("503 Unavailable", ""), false},
          std::pair{std::string{}, false}}) {
        event_loop loop;
        const canned_server server{loop, answer, canned_server::ending::close};
        log_outcome outcome;
        log_client client{loop, options_for(server, outcome)};
        client.append(table_edit{.id = {.high = 1, .low = 1}});
        client.append(table_edit{.id = {.high = 1, .low = 2}});
        BOOST_TEST(run_until(loop, [&] { return outcome.appends.size() == 2; }));
        BOOST_TEST((outcome.appends == std::vector<bool>{confirmed, confirmed}));
        BOOST_TEST(server.requests() == 2U);
    }
}

// Guards against memory that grows with the length of an outage.
BOOST_AUTO_TEST_CASE(waiting_appends_are_bounded) {
    event_loop loop;
    const canned_server server{loop, "", canned_server::ending::stay_open};
    log_outcome outcome;
    auto options = options_for(server, outcome);
    options.max_waiting_appends = 2;
    log_client client{loop, options};
    for (std::uint64_t number = 1; number <= 4; ++number) {
        client.append(table_edit{.id = {.high = 1, .low = number}});
    }
    BOOST_TEST((outcome.appends == std::vector<bool>{false}));
}

BOOST_AUTO_TEST_SUITE_END()
