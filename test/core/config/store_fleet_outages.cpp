// A fault of the store in which a change is applied late; not run by default, see KNOWN-RED.txt.

#include "core/config/store_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using test::store_fleet;
using test::store_service;

namespace {

constexpr milliseconds warm_up{4'000};
constexpr milliseconds apply_time{2'000};

} // namespace

BOOST_AUTO_TEST_SUITE(store_fleet_outages, *boost::unit_test::disabled())

// Guards against standby nodes that do not read although the store serves none of the readers.
BOOST_AUTO_TEST_CASE(standby_nodes_read_if_no_reader_is_served) {
    for (const auto service : {store_service::refusing, store_service::resetting, store_service::silent}) {
        store_fleet fleet{{}};
        fleet.run_for(warm_up);
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            if (fleet.is_reader(node)) {
                fleet.set_service(node, service);
            }
        }
        fleet.run_for(milliseconds{6'000});
        fleet.change();
        fleet.run_for(apply_time);
        BOOST_TEST(fleet.outdated_nodes() == "",
                   "service " << static_cast<int>(service) << ": outdated" << fleet.outdated_nodes());
    }
}

BOOST_AUTO_TEST_SUITE_END()
