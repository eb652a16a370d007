// Drills of the store after which the nodes' positions are valid, or no node has one.

#include "store_return/return_drill.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using test::outage_kind;
using test::return_drill;

namespace {

constexpr milliseconds outage_duration{1'500};
constexpr milliseconds write_delay{1'000};

constexpr std::uint16_t silence_ports = 29'000;
constexpr std::uint16_t header_ports = 29'060;
constexpr std::uint16_t rewrite_ports = 29'120;
constexpr std::uint16_t restart_ports = 29'180;

} // namespace

BOOST_AUTO_TEST_SUITE(store_recovery)

// Guards against a drill that fails for another reason than the replaced history, such as a slow recovery from the
// outage.
BOOST_AUTO_TEST_CASE(next_version_is_applied_after_a_silence_of_the_store) {
    return_drill drill{silence_ports};
    drill.write_history();
    drill.begin_outage({.kind = outage_kind::silent});
    drill.cluster().run_for(outage_duration);
    drill.come_back();
    drill.cluster().run_for(write_delay);
    drill.check_last_version_in_force();
    drill.write_next();
    drill.check_next_version_in_force();
}

// Guards against nodes that stop following the store because its responses have no era, or a malformed one.
BOOST_AUTO_TEST_CASE(malformed_era_does_not_stop_a_version) {
    return_drill drill{header_ports};
    drill.cluster().store().set_era_header([responses = 0](const std::uint64_t era) mutable {
        constexpr int kinds = 4;
        switch (responses++ % kinds) {
        case 0:
            return std::optional<std::string>{};
        case 1:
            return std::optional<std::string>{"-1"};
        case 2:
            return std::optional<std::string>{"99999999999999999999x"};
        default:
            return std::optional{std::to_string(era)};
        }
    });
    drill.write_history();
    drill.begin_outage({.kind = outage_kind::silent});
    drill.cluster().run_for(outage_duration);
    drill.come_back();
    drill.cluster().run_for(write_delay);
    drill.check_last_version_in_force();
    drill.write_next();
    drill.check_next_version_in_force();
}

// Guards against a node that goes back to a lost version when the operator writes it again.
BOOST_AUTO_TEST_CASE(lost_versions_that_are_written_again_have_no_effect) {
    return_drill drill{rewrite_ports};
    drill.write_history();
    drill.begin_outage({.kind = outage_kind::closed});
    drill.cluster().run_for(outage_duration);
    drill.come_back_from_copy();
    drill.cluster().run_for(write_delay);
    drill.write_history_again();
    drill.cluster().run_for(write_delay);
    drill.check_last_version_in_force();
    drill.write_next();
    drill.check_next_version_in_force();
}

// Guards against nodes that do not start with the copy, or do not follow the operator from there, after a loss of power
// everywhere.
BOOST_AUTO_TEST_CASE(next_version_is_applied_after_a_restart_of_all_nodes) {
    return_drill drill{restart_ports};
    drill.write_history();
    drill.begin_outage({.kind = outage_kind::closed});
    drill.cluster().run_for(outage_duration);
    drill.come_back_from_copy();
    for (const auto& host : drill.cluster().hosts()) {
        drill.cluster().restart(*host);
    }
    drill.cluster().run_for(write_delay);
    drill.write_next();
    drill.check_next_version_in_force();
}

BOOST_AUTO_TEST_SUITE_END()
