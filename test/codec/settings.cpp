#include "goldcrestwell/codec/settings_reader.hpp"
#include "goldcrestwell/codec/sidecar_settings_reader.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace goldcrestwell;

namespace {

std::string read_file(const std::string& name) {
    const std::ifstream file{std::string{GOLDCRESTWELL_SOURCE_DIR "/"} + name};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Returns a valid settings file, changed by the members of a JSON merge patch; null removes a key.
std::string settings_with(const std::string& changes) {
    auto document = nlohmann::json::parse(
        R"({"host": "10.0.0.1", "peer_port": 7400, "data_centre": "a", "region": "r",
            "caller_listener": {"port": 8080}, "admin_listener": {"port": 8081},
            "platform_log": {"address": "10.0.0.5:9000"}})");
    document.merge_patch(nlohmann::json::parse("{" + changes + "}"));
    return document.dump();
}

struct bad_case {
    const char* extra;
    const char* key;
    settings_reason reason;
};

constexpr bad_case bad_cases[] = {
    {R"("hots": 1)", "hots", settings_reason::unknown_key},
    {R"("calls": {"max_hop": 1})", "calls.max_hop", settings_reason::unknown_key},
    {R"("calls": {"max_hops": 0})", "calls.max_hops", settings_reason::out_of_range},
    {R"("calls": {"max_hops": -1})", "calls.max_hops", settings_reason::out_of_range},
    {R"("calls": {"max_hops": 1e30})", "calls.max_hops", settings_reason::wrong_type},
    {R"("calls": {"max_hops": 2.5})", "calls.max_hops", settings_reason::wrong_type},
    {R"("calls": {"max_hops": "8"})", "calls.max_hops", settings_reason::wrong_type},
    {R"("calls": {"max_hops": true})", "calls.max_hops", settings_reason::wrong_type},
    {R"("calls": [])", "calls", settings_reason::wrong_type},
    {R"("calls": {"default_timeout_ms": 18446744073709551615})", "calls.default_timeout_ms",
     settings_reason::out_of_range},
    {R"("seeds": "10.0.0.1:1")", "seeds", settings_reason::wrong_type},
    {R"("seeds": ["10.0.0.1:1", "10.0.0.1"])", "seeds[1]", settings_reason::not_an_endpoint},
    {R"("host": "10.0.0.256")", "host", settings_reason::not_an_address},
    {R"("host": "10.0.0.1:5")", "host", settings_reason::not_an_address},
    {R"("host": "0.0.0.0")", "host", settings_reason::contradicts},
    {R"("peer_port": 65536)", "peer_port", settings_reason::out_of_range},
    {R"("region": "")", "region", settings_reason::not_a_name},
    {R"("region": "a/b")", "region", settings_reason::not_a_name},
    {R"("logging": {"level": "verbose"})", "logging.level", settings_reason::not_a_level},
    {R"("membership": {"probe_timeout_ms": 1000})", "membership.probe_timeout_ms", settings_reason::contradicts},
    {R"("platform_log": {"address": null})", "platform_log.address", settings_reason::missing},
    {R"("platform_log": {"address": "log:9000"})", "platform_log.address", settings_reason::not_an_endpoint},
};

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

// Guards against a node that starts with an invalid or misspelt setting.
BOOST_AUTO_TEST_CASE(each_fault_is_reported_with_its_key) {
    settings_reader reader;
    BOOST_REQUIRE(reader.read(settings_with("")).has_value());
    for (const auto& bad : bad_cases) {
        BOOST_TEST_CONTEXT(bad.extra) {
            BOOST_TEST(!reader.read(settings_with(bad.extra)).has_value());
            BOOST_REQUIRE(reader.faults().size() == 1U);
            BOOST_TEST(reader.faults().front().key == bad.key);
            BOOST_TEST(to_string(reader.faults().front().reason) == to_string(bad.reason));
        }
    }
}

// Guards against a check that reports only one fault per run.
BOOST_AUTO_TEST_CASE(all_faults_are_reported_at_once) {
    settings_reader reader;
    BOOST_TEST(!reader.read("{}").has_value());
    BOOST_TEST(reader.faults().size() == 7U);
    BOOST_TEST(!reader.read(R"({"host": 1, "calls": {"max_hops": 0, "x": 1}, "y": 2})").has_value());
    BOOST_TEST(reader.faults().size() == 10U);
}

// Guards against crashing on, or accepting, text that is not a JSON object.
BOOST_AUTO_TEST_CASE(text_other_than_an_object_is_rejected) {
    settings_reader reader;
    for (const auto* text : {"", "{", "[]", "1", "{\"host\": \"\xFF\"}", "{,}", "/* open", "{\"host\": 1,}"}) {
        BOOST_TEST(!reader.read(text).has_value(), text);
        BOOST_TEST(!reader.faults().empty(), text);
    }
    BOOST_TEST(!reader.read(std::string(100'000, '[')).has_value());
}

// Guards against duplicate keys, where a later value would silently replace an earlier one.
BOOST_AUTO_TEST_CASE(duplicate_keys_are_rejected) {
    settings_reader reader;
    auto text = settings_with("");
    text.insert(1, R"("calls": {"max_hops": 1, "max_hops": 2}, "region": "x", )");
    BOOST_TEST(!reader.read(text).has_value());
    BOOST_REQUIRE(reader.faults().size() == 2U);
    BOOST_TEST(to_string(reader.faults()[0]) == "calls.max_hops: duplicate_key");
    BOOST_TEST(to_string(reader.faults()[1]) == "region: duplicate_key");
}

// Guards against values, defaults or units that are read wrongly from the file.
BOOST_AUTO_TEST_CASE(values_and_defaults_reach_the_struct) {
    settings_reader reader;
    const auto read = reader.read(settings_with(R"("moves": {"bake_time_s": 7, "dwell_ms": 250})") + "// comment");
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(to_string(read->self) == "10.0.0.1:7400");
    BOOST_TEST((read->rollouts.bake_time == std::chrono::seconds{7}));
    BOOST_TEST((read->rollouts.dwell == std::chrono::milliseconds{250}));
    BOOST_TEST((read->rollouts.default_duration == std::chrono::minutes{10}));
    BOOST_TEST(read->admin_listener.address == "127.0.0.1");
}

// Guards against documentation whose keys, units, defaults or ranges differ from those of the reader.
BOOST_AUTO_TEST_CASE(documentation_lists_exactly_the_accepted_settings) {
    std::istringstream document{read_file("docs/settings.md")};
    std::vector<std::string> listed;
    for (std::string line; std::getline(document, line);) {
        if (line.starts_with("| `") && line.find("` | ") != std::string::npos && std::ranges::count(line, '|') == 6) {
            listed.push_back(line.substr(0, line.rfind('|', line.size() - 2)));
        }
    }
    std::vector<std::string> accepted;
    for (const auto& setting : settings_reader::descriptions()) {
        accepted.push_back("| `" + setting.key + "` | " + setting.unit + " | " + setting.fallback + " | " +
                           setting.range + " ");
    }
    BOOST_TEST(listed == accepted, boost::test_tools::per_element());
}

// Guards against example files that a node would reject.
BOOST_AUTO_TEST_CASE(example_files_are_valid) {
    settings_reader reader;
    const auto print_works = reader.read(read_file("examples/print-works.json"));
    BOOST_REQUIRE(print_works.has_value());
    const auto association = reader.read(read_file("examples/association.json"));
    BOOST_REQUIRE(association.has_value());
    BOOST_TEST((print_works->rollouts.default_duration < association->rollouts.default_duration));
    BOOST_TEST((print_works->rollouts.bake_time < association->rollouts.bake_time));
}

// Guards against default settings with which a lost response of the log delays a change beyond the required 6 s.
BOOST_AUTO_TEST_CASE(lost_response_of_the_log_is_noticed_in_time) {
    constexpr std::chrono::milliseconds propagation_limit{6'000};
    const platform_log_settings settings;
    const auto retry_delay = config_follower_options{}.min_read_retry_delay;
    BOOST_TEST((settings.long_poll + settings.request_timeout + retry_delay < propagation_limit));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(sidecar_settings_values)

// Guards against a node that does not start because the platform filled in a figure with a fraction.
BOOST_AUTO_TEST_CASE(fractions_are_rounded_down) {
    const auto read = [](const std::string& retry_extra) {
        sidecar_settings_reader reader;
        return reader.read(R"({"host": "10.0.0.1", "peer_port": 7400, "data_centre": "a", "region": "r",
            "caller_listener": "10.0.0.1:1", "ready_listener": "10.0.0.1:2", "announcement_listener": "10.0.0.1:3",
            "admin_listener": "10.0.0.1:4", "upstream": {"service": "s", "address": "10.0.0.1:5"},
            "store": {"address": "10.0.0.2:1"}, "calls": {"retry_extra": )" +
                           retry_extra + "}}");
    };
    const auto rounded = read("34.5");
    BOOST_REQUIRE(rounded.has_value());
    BOOST_TEST(rounded->retry_extra == 34U);
    BOOST_TEST(!read("-0.5").has_value());
    BOOST_TEST(!read("1e300").has_value());
    BOOST_TEST(!read("\"34\"").has_value());
}

// Guards against a node that does not know the memory and the descriptors of its host.
BOOST_AUTO_TEST_CASE(limits_of_the_host_are_read) {
    const auto read = [](const std::string& limits) {
        sidecar_settings_reader reader;
        return reader.read(R"({"host": "10.0.0.1", "peer_port": 7400, "data_centre": "a", "region": "r",
            "caller_listener": "10.0.0.1:1", "ready_listener": "10.0.0.1:2", "announcement_listener": "10.0.0.1:3",
            "admin_listener": "10.0.0.1:4", "upstream": {"service": "s", "address": "10.0.0.1:5"},
            "store": {"address": "10.0.0.2:1"}, "limits": )" +
                           limits + "}");
    };
    const auto settings = read(R"({"memory_mb": 160.5, "max_fds": 4100})");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->limits.memory_mb == 160U);
    BOOST_TEST(settings->limits.max_fds == 4'100U);
    BOOST_TEST(!read(R"({"memory_mb": 63})").has_value());
    BOOST_TEST(!read(R"({"max_fds": 0})").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
