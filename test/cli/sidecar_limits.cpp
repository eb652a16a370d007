#include "goldcrestwell/cli/command.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
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

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_limits)

// Guards against a node that starts with limits which it does not understand and then takes those of another host.
BOOST_FIXTURE_TEST_CASE(invalid_limits_are_wrong_usage, settings_file) {
    for (const auto* value : {"", "x", "160x", "-1", "0", "63", "nan", "1e30"}) {
        BOOST_TEST((run("--memory-mb", value) == exit_code::wrong_usage), value);
        BOOST_TEST((run("--max-fds", value) == exit_code::wrong_usage), value);
    }
}

BOOST_AUTO_TEST_SUITE_END()
