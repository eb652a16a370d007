#include "goldcrestwell/cli/command.hpp"
#include "goldcrestwell/cli/limit_overrides.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <string>

using namespace goldcrestwell;

namespace {

/** @brief Valid settings of a sidecar in a temporary file. */
struct settings_file {
    settings_file() {
        BOOST_REQUIRE(mkdtemp(folder.data()) != nullptr);
        path = folder + "/settings.json";
        std::ofstream{path} << R"({"host": "127.0.0.1", "peer_port": 1, "data_centre": "a", "region": "r",
            "caller_listener": "127.0.0.1:2", "ready_listener": "127.0.0.1:3", "announcement_listener": "127.0.0.1:4",
            "admin_listener": "127.0.0.1:5", "upstream": {"service": "s", "address": "127.0.0.1:6"},
            "store": {"address": "127.0.0.1:7"}})";
    }
    ~settings_file() { std::filesystem::remove_all(folder); }
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;

    [[nodiscard]] exit_code run(std::string option, std::string value) {
        std::array<std::string, 5> words{"sidecar", "--settings", path, std::move(option), std::move(value)};
        std::array<char*, 5> arguments{};
        for (std::size_t index = 0; index < words.size(); ++index) {
            arguments.at(index) = words.at(index).data();
        }
        return run_sidecar(arguments);
    }

    std::string folder{(std::filesystem::temp_directory_path() / "goldcrestwell-cli-XXXXXX").string()};
    std::string path;
};

using values = std::map<std::string, std::string>;

std::optional<std::string> find(const values& known, const std::string& name) {
    const auto found = known.find(name);
    return found == known.end() ? std::nullopt : std::optional{found->second};
}

limit_sources sources(const values& options, const values& variables) {
    return {.option = [options](const std::string& name) { return find(options, name); },
            .variable =
                [variables](const std::string& name) {
                    return find(variables, name);
                }};
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_limits)

// Guards against a node that starts with limits which it does not understand and then takes those of another host.
BOOST_FIXTURE_TEST_CASE(invalid_limits_are_wrong_usage, settings_file) {
    for (const auto* value : {"", "x", "160x", "-1", "0", "63", "nan", "1e30"}) {
        BOOST_TEST((run("--memory-mb", value) == exit_code::wrong_usage), value);
        BOOST_TEST((run("--max-fds", value) == exit_code::wrong_usage), value);
    }
}

// Guards against a node that ignores the limits of its host and takes those of its settings file.
BOOST_AUTO_TEST_CASE(environment_replaces_the_settings_and_an_option_replaces_both) {
    const values variables{{"GOLDCRESTWELL_MEMORY_MB", "260.5"}, {"GOLDCRESTWELL_MAX_FDS", "8192"}};
    resource_settings limits{.memory_mb = 160, .max_fds = 4'096};
    BOOST_TEST(!override_limits(sources({}, variables), limits));
    BOOST_TEST(limits.memory_mb == 260U);
    BOOST_TEST(limits.max_fds == 8'192U);
    BOOST_TEST(!override_limits(sources({{"memory-mb", "300"}}, variables), limits));
    BOOST_TEST(limits.memory_mb == 300U);
}

// Guards against a start that fails because the platform states no limit, and against an invalid limit that is ignored.
BOOST_AUTO_TEST_CASE(empty_variable_is_not_set_and_invalid_one_is_a_fault) {
    resource_settings limits{.memory_mb = 160, .max_fds = 4'096};
    BOOST_TEST(!override_limits(sources({}, {{"GOLDCRESTWELL_MEMORY_MB", ""}}), limits));
    BOOST_TEST(limits.memory_mb == 160U);
    for (const auto* value : {"x", "260 MB", "-1", "0", "nan"}) {
        BOOST_TEST(override_limits(sources({}, {{"GOLDCRESTWELL_MEMORY_MB", value}}), limits).has_value(), value);
        BOOST_TEST(override_limits(sources({}, {{"GOLDCRESTWELL_MAX_FDS", value}}), limits).has_value(), value);
    }
    BOOST_TEST(limits.memory_mb == 160U);
}

// Guards against a command of the deploy file that only the platform can complete: other runners of the deploy file,
// such as the cases of review/, know the settings template but none of the placeholders of the command.
BOOST_AUTO_TEST_CASE(deploy_file_passes_the_limits_by_the_environment) {
    std::ifstream file{std::string{GOLDCRESTWELL_SOURCE_DIR} + "/deploy/system.toml"};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    const auto run = text.find("\nrun = ");
    BOOST_REQUIRE(run != std::string::npos);
    BOOST_TEST(text.substr(run, text.find('\n', run + 1) - run).find("{{") == std::string::npos);
    BOOST_TEST(text.find(R"(GOLDCRESTWELL_MEMORY_MB = "{{limits.memory_mb}}")") != std::string::npos);
    BOOST_TEST(text.find(R"(GOLDCRESTWELL_MAX_FDS = "{{limits.max_fds}}")") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
