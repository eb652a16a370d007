// Calls to a store that returns from an older copy.

#include "goldcrestwell/platform/store_client.hpp"

#include "goldcrestwell/core/common/store_offset.hpp"
#include "goldcrestwell/core/config/store_history.hpp"
#include "goldcrestwell/shell/timer.hpp"
#include "platform/fake_store.hpp"
#include "platform/free_port.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace goldcrestwell;
using std::chrono::milliseconds;

namespace {

struct fixture {
    void run_for(const milliseconds duration) {
        timer end{loop, [this](time_sample) {
                      loop.stop();
                  }};
        end.schedule_after(duration);
        loop.run();
    }

    event_loop loop;
    std::uint16_t port{test::free_port()};
    test::fake_store store{loop, port};
    store_history history{{.replaced = [](store_era, store_era) {},
                           .stale_response =
                               [](store_era, store_era) {
                               }}};
    store_client client{loop,
                        {.server = {.address = "127.0.0.1", .port = port},
                         .timeout = milliseconds{400},
                         .records_skipped = [](std::string_view, std::size_t) {},
                         .response_received =
                             [this](const std::optional<store_era> era) {
                                 return history.on_response(era);
                             }}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(calls_to_a_store, fixture)

// Guards against a status that is replaced by a write whose condition names a position of the lost history.
BOOST_AUTO_TEST_CASE(queued_append_of_an_earlier_history_is_not_sent) {
    BOOST_REQUIRE(store.start());
    store.put("keyed.status", "a", "1");
    const auto copy = store.copy();
    store.put("keyed.status", "b", "1");
    std::optional<store_page> statuses;
    client.read_newest("keyed.status", [&](const store_page& page) { statuses = page; });
    run_for(milliseconds{100});
    BOOST_REQUIRE(statuses);
    BOOST_TEST((statuses->end == make_store_offset(store_era{1}, 2)));

    // The append waits for a call whose response is lost.
    store.hold_next_response("/goldcrestwell/log-newest");
    client.read_newest("keyed.nodes", [](const store_page&) {});
    std::optional<bool> confirmed;
    client.append("keyed.status", "c", "completed", statuses->end, [&](const bool result) { confirmed = result; });
    run_for(milliseconds{50});
    store.go_away({.kind = test::outage_kind::silent});
    BOOST_REQUIRE(store.come_back(copy));
    store.put("keyed.status", "c", "rolled_back");
    client.read_after("keyed.op", {}, {}, [](const store_page&) {});
    run_for(milliseconds{100});
    BOOST_TEST((history.era() == store_era{2}));
    BOOST_TEST(!confirmed.has_value());

    run_for(milliseconds{600});
    BOOST_TEST((confirmed == false));
    BOOST_TEST(store.newest("keyed.status", "c") == "rolled_back");
}

BOOST_AUTO_TEST_SUITE_END()
