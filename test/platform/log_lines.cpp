// Log lines and status of sidecars from which an operator learns which configuration decided a call.

#include "goldcrestwell/cli/file_text.hpp"
#include "goldcrestwell/shell/structured_log.hpp"
#include "platform/sidecar_cluster.hpp"
#include "shell/temporary_folder.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace goldcrestwell;
using test::sidecar_cluster;

namespace {

/** @brief Two ready hosts of one service whose log lines are read back. */
struct fixture {
    fixture() {
        configure_log({.level = log_level::info, .file = file});
        cluster.write_config(3, "orders");
        for (auto* host : {&first_host, &second_host}) {
            BOOST_REQUIRE(cluster.announce(*host) == 200U);
        }
        BOOST_REQUIRE(cluster.wait_for(
            [this] { return cluster.ready(first_host) == 200U && cluster.ready(second_host) == 200U; }));
    }
    ~fixture() { configure_log({}); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    /** @return The last line that contains a text, or an empty string. */
    [[nodiscard]] std::string line_with(const std::string& part) const {
        const auto text = read_file(file).value_or("");
        const auto found = text.rfind(part);
        if (found == std::string::npos) {
            return "";
        }
        const auto before = text.rfind('\n', found);
        const auto begin = before == std::string::npos ? 0 : before + 1;
        return text.substr(begin, text.find('\n', found) - begin);
    }

    /** @brief Waits for a version at the first host without calls, whose lines would use up the limit of the log. */
    [[nodiscard]] bool wait_for_version(const std::string& version) {
        return cluster.wait_for([this, &version] {
            return cluster.status(first_host).find("\"config_version\": " + version + ',') != std::string::npos;
        });
    }

    test::temporary_folder folder;
    std::string file{(folder.path / "lines.log").string()};
    sidecar_cluster cluster;
    sidecar_cluster::host& first_host{cluster.add_host("orders")};
    sidecar_cluster::host& second_host{cluster.add_host("orders")};
};

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(log_lines)

// Guards against a request whose id does not lead to the configuration that decided it.
BOOST_FIXTURE_TEST_CASE(request_id_leads_to_the_configuration, fixture) {
    BOOST_TEST(cluster.call(first_host, "GET", "/read/a", "before-1").response.status == 200U);
    BOOST_TEST(cluster.call(first_host, "GET", "/new/a", "before-2").response.status == 404U);
    cluster.write_config(9, "orders", "/new/");
    BOOST_TEST(wait_for_version("9"));
    BOOST_TEST(cluster.call(first_host, "GET", "/new/a", "after-1").response.status == 200U);
    BOOST_TEST(cluster.call(first_host, "GET", "/read/a", "after-2").response.status == 404U);
    BOOST_TEST(contains(line_with("event=call_answered request=before-1 "), " config_version=3 "));
    BOOST_TEST(contains(line_with("event=call_refused request=before-2 "), " config_version=3 "));
    BOOST_TEST(contains(line_with("event=call_refused request=after-2 "), " config_version=9 "));
    BOOST_TEST(contains(line_with("event=call_refused request=after-2 "), " reason=no_route "));
    BOOST_TEST(contains(line_with("event=call_answered request=after-1 "), " config_version=9 "));
}

// Guards against positions of the store that are shown as one number.
BOOST_FIXTURE_TEST_CASE(positions_have_an_era, fixture) {
    const auto applied = line_with("event=config_applied");
    BOOST_TEST(contains(applied, " version=3 "));
    BOOST_TEST(contains(applied, " position=1 era="));
    BOOST_TEST(contains(line_with("event=ready "), " position=1 era="));
    BOOST_TEST(contains(cluster.status(first_host), "\"config_position\": 1,"));
    BOOST_TEST(contains(cluster.status(first_host), "\"config_era\": "));
    const auto metrics = cluster.metrics(first_host);
    BOOST_TEST(contains(metrics, "\ngoldcrestwell_config_position 1\n"));
    BOOST_TEST(contains(metrics, "\ngoldcrestwell_config_era "));
    BOOST_TEST(contains(metrics, "\ngoldcrestwell_store_era 1\n"));
    for (const auto* name :
         {"store_histories_replaced_total", "stale_store_responses_total", "store_responses_without_era_total"}) {
        BOOST_TEST(contains(metrics, std::string{"\ngoldcrestwell_"} + name + " 0\n"), name);
    }
    BOOST_TEST(contains(metrics, "\ngoldcrestwell_records_skipped_total{reason=\"older_version\"} 0\n"));
    BOOST_TEST(contains(metrics, "\ngoldcrestwell_call_lines_omitted_total 0\n"));
}

// Guards against a configuration of which nobody can tell how it reached a node.
BOOST_FIXTURE_TEST_CASE(source_of_a_configuration_is_logged, fixture) {
    BOOST_TEST(contains(line_with("event=config_applied"), " source="));
    cluster.store.set_down(true);
    BOOST_TEST(cluster.wait_for([this] { return !line_with("event=store_lost").empty(); }));
    cluster.store.set_down(false);
    BOOST_TEST(cluster.wait_for([this] { return contains(line_with("event=store_reachable"), " outage_ms="); }));
    cluster.write_config(9, "orders", "/new/");
    BOOST_TEST(wait_for_version("9"));
    BOOST_TEST(contains(line_with("event=config_applied version=9 "), " source="));
}

BOOST_AUTO_TEST_SUITE_END()
