#include "goldcrestwell/shell/call_log.hpp"

#include "goldcrestwell/cli/file_text.hpp"
#include "goldcrestwell/shell/structured_log.hpp"
#include "shell/temporary_folder.hpp"

#include <boost/test/unit_test.hpp>

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

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_log_suite)

// Guards against a request that was refused by an old configuration without a line that says which one it was.
BOOST_AUTO_TEST_CASE(call_without_a_route_names_the_configuration) {
    const auto text = text_of([] {
        write_call_log({.step = call_step::refused,
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

// Guards against attempt lines that do not tell the configuration of the upstream's node.
BOOST_AUTO_TEST_CASE(failed_attempt_names_the_configuration) {
    const auto text = text_of(
        [] { write_attempt_log({.request_id = "abc", .config_version = 12, .reason = refusal_reason::queue_full}); });
    BOOST_TEST(contains(text, "event=attempt_failed request=abc "));
    BOOST_TEST(contains(text, " config_version=12 "));
}

BOOST_AUTO_TEST_SUITE_END()
