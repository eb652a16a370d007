#include "goldcrestwell/shell/structured_log.hpp"

#include "goldcrestwell/cli/file_text.hpp"
#include "shell/temporary_folder.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(structured_log)

// Guards against values that split a line or forge a field, and against writing lines below the minimum level.
BOOST_AUTO_TEST_CASE(values_with_special_characters_are_quoted) {
    const test::temporary_folder folder;
    const auto file = (folder.path / "lines.log").string();
    configure_log({.level = log_level::info, .file = file});
    write_log(log_level::warning, "event_name",
              {{"plain", "v1"},
               {"number", 7},
               {"spaced", "a b"},
               {"quoted", "say \"x\\y\""},
               {"forged", "a\nlevel=error"},
               {"empty", ""}});
    write_log(log_level::debug, "hidden");
    configure_log({});
    const auto text = read_file(file).value_or("");
    BOOST_TEST(text.ends_with("level=warning event=event_name plain=v1 number=7 spaced=\"a b\" "
                              "quoted=\"say \\\"x\\\\y\\\"\" forged=\"a\\x0alevel=error\" empty=\"\"\n"));
    BOOST_TEST(text.find("hidden") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
