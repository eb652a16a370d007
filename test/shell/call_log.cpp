#include "goldcrestwell/shell/call_log.hpp"

#include "goldcrestwell/cli/file_text.hpp"
#include "goldcrestwell/shell/structured_log.hpp"
#include "shell/temporary_folder.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <string>

using namespace goldcrestwell;
using namespace std::chrono_literals;

namespace {

constexpr steady_time start{1'000s};

/** @brief Returns the text that an action logs. */
std::string text_of(const std::function<void()>& action, const log_level level = log_level::info) {
    const test::temporary_folder folder;
    const auto file = (folder.path / "lines.log").string();
    configure_log({.level = level, .file = file});
    action();
    configure_log({});
    return read_file(file).value_or("");
}

call_event answered_call(const std::string& id) {
    return {.step = call_step::answered,
            .request_id = id,
            .config_version = 12,
            .attempts = 1,
            .run = run_state::ran,
            .started = start};
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_log_suite)

// Guards against a request that was refused by an old configuration without a line that says which one it was.
BOOST_AUTO_TEST_CASE(call_without_a_route_names_the_configuration) {
    const auto text = text_of([] {
        call_log log;
        log.write({.step = call_step::refused,
                   .request_id = "abc",
                   .config_version = 12,
                   .reason = refusal_reason::no_route,
                   .run = run_state::not_run,
                   .started = start},
                  start);
    });
    BOOST_TEST(contains(text, "event=call_refused request=abc "));
    BOOST_TEST(contains(text, " config_version=12 "));
    BOOST_TEST(contains(text, " reason=no_route run=not_run "));
}

// Guards against successes without a trace of their configuration, and against more lines than the limit.
BOOST_AUTO_TEST_CASE(lines_of_plain_successes_are_limited) {
    constexpr int call_count = call_log::plain_line_burst + 5;
    int omitted = 0;
    const auto text = text_of([&omitted] {
        call_log log;
        for (int i = 0; i < call_count; ++i) {
            omitted += log.write(answered_call("first-" + std::to_string(i)), start) ? 0 : 1;
        }
        BOOST_TEST(log.write(answered_call("second"), start + call_log::plain_line_interval));
        BOOST_TEST(!log.write(answered_call("third"), start + call_log::plain_line_interval));
    });
    BOOST_TEST(omitted == 5);
    BOOST_TEST(std::ranges::count(text, '\n') == call_log::plain_line_burst + 1);
    BOOST_TEST(contains(text, "level=info event=call_answered request=first-0 "));
    BOOST_TEST(contains(text, " config_version=12 "));
    BOOST_TEST(contains(text, " request=second "));
    BOOST_TEST(text.ends_with(" omitted=5\n"));
    BOOST_TEST(!contains(text, " request=third "));
}

// Guards against a limit of plain successes that also leaves out the calls that need an investigation.
BOOST_AUTO_TEST_CASE(other_lines_are_not_limited) {
    constexpr int call_count = call_log::plain_line_burst + 2;
    const auto text = text_of([] {
        call_log log;
        for (int i = 0; i < call_count; ++i) {
            auto call = answered_call("retried");
            call.attempts = 2;
            BOOST_TEST(log.write(call, start));
        }
        BOOST_TEST(log.write(answered_call("plain"), start));
    });
    BOOST_TEST(std::ranges::count(text, '\n') == call_count + 1);
}

// Guards against a limit that applies at level `debug`, and against counting lines that no level would write.
BOOST_AUTO_TEST_CASE(limit_applies_at_level_info_only) {
    constexpr int call_count = call_log::plain_line_burst + 2;
    const auto write_all = [] {
        call_log log;
        for (int i = 0; i < call_count; ++i) {
            BOOST_TEST(log.write(answered_call("abc"), start));
        }
    };
    const auto text = text_of(write_all, log_level::debug);
    BOOST_TEST(std::ranges::count(text, '\n') == call_count);
    BOOST_TEST(contains(text, "level=debug event=call_answered "));
    BOOST_TEST(text_of(write_all, log_level::warning).empty());
}

// Guards against attempt lines that do not tell the configuration of the upstream's node.
BOOST_AUTO_TEST_CASE(failed_attempt_names_the_configuration) {
    const auto text = text_of(
        [] { write_attempt_log({.request_id = "abc", .config_version = 12, .reason = refusal_reason::queue_full}); });
    BOOST_TEST(contains(text, "event=attempt_failed request=abc "));
    BOOST_TEST(contains(text, " config_version=12 "));
}

BOOST_AUTO_TEST_SUITE_END()
