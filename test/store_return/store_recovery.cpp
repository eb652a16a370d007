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

BOOST_AUTO_TEST_SUITE_END()
