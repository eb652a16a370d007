#include "goldcrestwell/core/node/upstream_registry.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;

namespace {

const node_id upstream_address{1, 80};

upstream_announcement announcement(const std::uint64_t sequence, const std::int64_t start_ms = 100) {
    return {.id = "u-1",
            .service = {"orders"},
            .version = {"v1"},
            .address = upstream_address,
            .slots = 4,
            .sequence = sequence,
            .started = wall_time{std::chrono::milliseconds{start_ms}}};
}

struct fixture {
    upstream_registry registry{{.service = {"orders"}, .address = upstream_address}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_announcements)

// Guards against accepting a heartbeat that was delayed until the upstream was started again.
BOOST_FIXTURE_TEST_CASE(heartbeats_of_an_earlier_start_are_ignored, fixture) {
    BOOST_TEST((registry.on_announcement(announcement(9)) == upstream_change::started));
    BOOST_TEST((registry.on_announcement(announcement(1, 200)) == upstream_change::started));
    BOOST_TEST((registry.on_announcement(announcement(10)) == upstream_change::none));
    BOOST_TEST((registry.on_announcement(announcement(2, 200)) == upstream_change::renewed));
}

// Guards against a late heartbeat that reactivates an upstream after it has announced its shutdown.
BOOST_FIXTURE_TEST_CASE(leaving_is_final_for_a_start, fixture) {
    static_cast<void>(registry.on_announcement(announcement(1)));
    BOOST_TEST((registry.on_withdrawal("u-1") == upstream_change::leaving));
    BOOST_TEST((registry.on_announcement(announcement(5)) == upstream_change::none));
    BOOST_TEST((registry.on_announcement(announcement(1, 300)) == upstream_change::started));
    BOOST_TEST((registry.on_withdrawal("u-2") == upstream_change::none));
}

// Guards against forged heartbeats for another service or address.
BOOST_FIXTURE_TEST_CASE(other_services_and_addresses_are_ignored, fixture) {
    auto forged = announcement(1);
    forged.service = {"bills"};
    BOOST_TEST((registry.on_announcement(forged) == upstream_change::none));
    forged = announcement(1);
    forged.address = node_id{2, 80};
    BOOST_TEST((registry.on_announcement(forged) == upstream_change::none));
}

// Guards against a cold upstream that is gossiped as warm, and against a warm one that is gossiped as cold.
BOOST_FIXTURE_TEST_CASE(upstream_is_warm_once_it_says_so, fixture) {
    auto cold = announcement(1);
    cold.remaining_cold_start = std::chrono::milliseconds{1'200};
    static_cast<void>(registry.on_announcement(cold));
    BOOST_TEST(!registry.info().warm);
    BOOST_TEST((registry.on_announcement(announcement(2)) == upstream_change::renewed));
    BOOST_TEST(registry.info().warm);
}

BOOST_AUTO_TEST_SUITE_END()
