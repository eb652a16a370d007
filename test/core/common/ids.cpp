#include "goldcrestwell/core/common/edit_id.hpp"
#include "goldcrestwell/core/common/invariant_monitor.hpp"
#include "goldcrestwell/core/common/node_id.hpp"
#include "goldcrestwell/core/common/rendezvous.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;

BOOST_AUTO_TEST_SUITE(common_types)

// Guards against an endpoint that changes when it is formatted and parsed again.
BOOST_AUTO_TEST_CASE(endpoint_survives_round_trip) {
    const node_id id{0x7F000001, 7001};
    BOOST_TEST(to_string(id) == "127.0.0.1:7001");
    BOOST_TEST((parse_node_id("127.0.0.1:7001") == id));
}

// Guards against accepting malformed endpoints from settings or peers.
BOOST_AUTO_TEST_CASE(malformed_endpoints_are_rejected) {
    for (const auto* text :
         {"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "256.0.0.1:1", "1.2.3:4", "1.2.3.4:5x"}) {
        BOOST_TEST(!parse_node_id(text).has_value(), text);
    }
}

// Guards against a printed edit id that an operator cannot use to look up the edit.
BOOST_AUTO_TEST_CASE(edit_id_survives_round_trip) {
    const edit_id id{.high = 0x1234, .low = 0xFFFFFFFFFFFFFFFF};
    BOOST_TEST(to_string(id).size() == 32U);
    BOOST_TEST((parse_edit_id(to_string(id)) == id));
    BOOST_TEST(!parse_edit_id("xyz").has_value());
}

// Guards against nodes that compute different ranks for the same set of nodes.
BOOST_AUTO_TEST_CASE(rendezvous_order_is_independent_of_input_order) {
    const std::vector<node_id> nodes{node_id{1}, node_id{2}, node_id{3}, node_id{4}};
    const std::vector<node_id> reversed{nodes.rbegin(), nodes.rend()};
    BOOST_TEST((rendezvous_order(7, nodes) == rendezvous_order(7, reversed)));
}

// Guards against an invariant violation that is not counted or not reported.
BOOST_AUTO_TEST_CASE(violations_are_counted_and_reported) {
    std::size_t reported = 0;
    invariant_monitor monitor{[&reported](invariant_id) {
        ++reported;
    }};
    BOOST_TEST(monitor.check(invariant_id::at_most_once, true));
    BOOST_TEST(!monitor.check(invariant_id::at_most_once, false));
    BOOST_TEST(reported == 1U);
    BOOST_TEST(monitor.violations(invariant_id::at_most_once) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
