// Faults of the store and of nodes in which a change was applied late.

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
constexpr milliseconds contact_time{3'000};

} // namespace

BOOST_AUTO_TEST_SUITE(store_fleet_outages)

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

// Guards against readers that wait for the rest of a long poll although its answer was lost. A change has to be applied
// within the contact time after a fault of the store.
BOOST_AUTO_TEST_CASE(change_whose_answers_were_all_lost_is_applied_within_the_contact_time) {
    for (auto begin = warm_up; begin < warm_up + milliseconds{2'530}; begin += milliseconds{110}) {
        bool is_lost = false;
        store_fleet fleet{{.loses_answer = [&is_lost](std::size_t) {
            return is_lost;
        }}};
        fleet.run_for(begin);
        is_lost = true;
        fleet.change();
        is_lost = false;
        fleet.run_for(contact_time);
        BOOST_TEST(fleet.outdated_nodes() == "",
                   "answers lost at " << begin.count() << " ms: outdated" << fleet.outdated_nodes());
    }
}

BOOST_AUTO_TEST_SUITE_END()
