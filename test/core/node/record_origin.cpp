#include "goldcrestwell/core/node/record_origin.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;
using namespace std::chrono_literals;

namespace {

constexpr steady_time start{1'000s};

} // namespace

BOOST_AUTO_TEST_SUITE(record_origin_suite)

// Guards against a delay that starts again with each announcement, or that goes on after the node has caught up.
BOOST_AUTO_TEST_CASE(delay_runs_from_the_first_announcement_until_the_node_has_caught_up) {
    record_origin origin;
    BOOST_TEST(!origin.delay(start).has_value());
    origin.on_peer_position(log_offset{4}, log_offset{4}, start);
    BOOST_TEST(!origin.delay(start).has_value());
    origin.on_peer_position(log_offset{5}, log_offset{4}, start);
    origin.on_peer_position(log_offset{6}, log_offset{4}, start + 200ms);
    BOOST_TEST((origin.delay(start + 300ms) == 300ms));
    origin.on_position(log_offset{5});
    BOOST_TEST((origin.delay(start + 400ms) == 400ms));
    origin.on_position(log_offset{6});
    BOOST_TEST(!origin.delay(start + 500ms).has_value());
    origin.on_peer_position(log_offset{7}, log_offset{6}, start + 600ms);
    BOOST_TEST((origin.delay(start + 700ms) == 100ms));
}

// Guards against records of the store that are shown as those of the peer that sent the ones before.
BOOST_AUTO_TEST_CASE(source_is_that_of_the_latest_records) {
    record_origin origin;
    BOOST_TEST(!origin.peer().has_value());
    origin.on_records(node_id{7});
    BOOST_TEST((origin.peer() == node_id{7}));
    origin.on_records(std::nullopt);
    BOOST_TEST(!origin.peer().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
