// Sidecars as processes and a store that goes away and returns from a copy that lacks the last versions.

#include "store_return/return_drill.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using test::outage_kind;
using test::return_drill;

namespace {

constexpr milliseconds outage_duration{1'500};
constexpr milliseconds write_delay{1'000};
constexpr std::uint16_t next_version_ports = 28'000;

} // namespace

BOOST_AUTO_TEST_SUITE(store_return)

// Guards against nodes that ignore the operator's next version because the store, which returned from an older copy,
// gives it an offset that is not above those of the lost history: requests stay at the old service and the added route
// is refused.
BOOST_AUTO_TEST_CASE(next_version_is_applied_after_a_return_from_an_older_copy) {
    return_drill drill{next_version_ports};
    drill.write_history();
    drill.begin_outage({.kind = outage_kind::closed});
    drill.cluster().run_for(outage_duration);
    drill.come_back_from_copy();
    drill.cluster().run_for(write_delay);
    drill.check_last_version_in_force();
    drill.write_next();
    drill.check_next_version_in_force();
}

BOOST_AUTO_TEST_SUITE_END()
