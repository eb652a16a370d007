#include "goldcrestwell/core/node/node.hpp"

#include <boost/test/unit_test.hpp>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

node_options make_options() {
    node_options options{.self = node_id{1, 7000},
                         .start_incarnation = incarnation{1},
                         .data_centre = {"a"},
                         .region = {"r"},
                         .drain_linger = seconds{2},
                         .drain_quiet = seconds{1},
                         .drain_notice = seconds{4}};
    options.hooks.send_frame = [](node_id, const peer_message&) {
    };
    options.hooks.send_datagram = [](node_id, const datagram&) {
    };
    options.hooks.datagram_size = [](const datagram&) {
        return std::size_t{100};
    };
    options.hooks.frame_size = [](const peer_message&) {
        return std::size_t{100};
    };
    options.hooks.read_log = [](log_offset, milliseconds) {
    };
    options.hooks.wake_at = [](steady_time) {
    };
    options.hooks.event = [](const node_event&) {
    };
    options.hooks.invariant_violated = [](invariant_id) {
    };
    return options;
}

time_sample at(const milliseconds passed) {
    return {.steady = steady_time{seconds{100} + passed}, .wall = wall_time{seconds{1'000} + passed}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(draining_node)

// Load pattern: half of the nodes of a data centre stop at once, so callers are not sent elsewhere. Guards against a
// node that ends while its callers still come: 428 of 651 calls found no connection in two seconds of one day.
BOOST_AUTO_TEST_CASE(stays_while_callers_come) {
    node draining{make_options()};
    draining.start(at(milliseconds{}));
    draining.on_drain(at(milliseconds{}));
    const auto call = [&draining](const milliseconds passed) {
        static_cast<void>(draining.on_call(
            {}, [](const call_result&) {}, at(passed)));
    };
    for (milliseconds passed{}; passed <= milliseconds{3'400}; passed += milliseconds{200}) {
        call(passed);
        BOOST_TEST(!draining.drained(at(passed)));
    }
    BOOST_TEST(!draining.drained(at(milliseconds{4'300})));
    BOOST_TEST(draining.drained(at(milliseconds{4'400})));
}

// Guards against a restarted node that keeps its upstream out of use for longer than callers need to leave.
BOOST_AUTO_TEST_CASE(ends_after_its_linger_when_callers_have_left) {
    node draining{make_options()};
    draining.start(at(milliseconds{}));
    draining.on_drain(at(milliseconds{}));
    static_cast<void>(draining.on_call(
        {}, [](const call_result&) {}, at(milliseconds{500})));
    BOOST_TEST(!draining.drained(at(milliseconds{1'900})));
    BOOST_TEST(draining.drained(at(milliseconds{2'000})));
}

// Load pattern: rolling restart of a quarter of the hosts in a burst. Guards against an upstream that is out of use
// from the signal on: on one day each restart cost five seconds of an upstream, of which callers needed three to turn
// away.
BOOST_AUTO_TEST_CASE(upstream_stays_in_use_while_callers_turn_away) {
    auto options = make_options();
    options.drain_leave = milliseconds{2'400};
    options.drain_notice = seconds{3};
    std::size_t started = 0;
    options.hooks.start_upstream = [&started](const attempt_id&, const call_request&, milliseconds) {
        ++started;
    };
    const node_id peer{2, 7000};
    const upstream_info upstream{.service = {"orders"}, .version = {"v1"}, .slots = 9};
    node draining{std::move(options)};
    draining.start(at(milliseconds{}));
    draining.on_announce(upstream, at(milliseconds{}));
    draining.on_drain(at(milliseconds{}));
    const auto attempt = [&](const std::uint64_t sequence, const milliseconds passed) {
        draining.on_timer(at(passed));
        draining.on_peer_message(
            peer,
            attempt_request{.id = {.origin = peer, .start_incarnation = incarnation{1}, .sequence = sequence},
                            .target_incarnation = incarnation{1},
                            .service = upstream.service,
                            .version = upstream.version,
                            .call = {.timeout = seconds{1}}},
            at(passed));
        return draining.members().find(node_id{1, 7000})->status;
    };
    BOOST_TEST((attempt(1, milliseconds{2'300}) == member_status::alive));
    BOOST_TEST(started == 1U);
    BOOST_TEST((attempt(2, milliseconds{2'400}) == member_status::leaving));
    BOOST_TEST(started == 2U);
    static_cast<void>(attempt(3, milliseconds{3'000}));
    BOOST_TEST(started == 2U);
}

// Guards against a node that goes on refusing callers, for lack of others to go to, instead of starting again.
BOOST_AUTO_TEST_CASE(ends_soon_after_it_refuses_work) {
    auto options = make_options();
    options.drain_refusal = milliseconds{500};
    node draining{std::move(options)};
    draining.start(at(milliseconds{}));
    draining.on_drain(at(milliseconds{}));
    static_cast<void>(draining.on_call(
        {}, [](const call_result&) {}, at(milliseconds{4'400})));
    BOOST_TEST(!draining.drained(at(milliseconds{4'400})));
    BOOST_TEST(draining.drained(at(milliseconds{4'500})));
}

BOOST_AUTO_TEST_SUITE_END()
