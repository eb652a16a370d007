#include "goldcrestwell/shell/http_headers.hpp"
#include "platform/free_port.hpp"
#include "platform/sidecar_cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <utility>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::sidecar_cluster;

namespace {

/** @brief Two hosts of one service whose nodes are ready. */
struct fixture {
    fixture() {
        cluster.write_config(3, "orders");
        for (auto* host : {&first_host, &second_host}) {
            BOOST_REQUIRE(cluster.announce(*host) == 200U);
        }
        BOOST_REQUIRE(cluster.wait_for(
            [this] { return cluster.ready(first_host) == 200U && cluster.ready(second_host) == 200U; }));
    }

    [[nodiscard]] std::size_t total_run_count() const { return first_host.run_count + second_host.run_count; }

    sidecar_cluster cluster;
    sidecar_cluster::host& first_host{cluster.add_host("orders")};
    sidecar_cluster::host& second_host{cluster.add_host("orders")};
};

bool is_not_run_status(const std::uint32_t status) {
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_on_loopback)

// Covers the whole path of a call: settings, store, announcements, membership, routing, the hop between peers and the
// response of the upstream.
BOOST_FIXTURE_TEST_CASE(call_is_forwarded_with_platform_headers, fixture) {
    std::vector<http_header> received_headers;
    const auto default_handler = first_host.handle_request;
    const auto record_headers = [&received_headers](const sidecar_cluster::request_handler& handle_request) {
        return [&received_headers, handle_request](const std::shared_ptr<http_exchange>& exchange) {
            received_headers = exchange->headers();
            handle_request(exchange);
        };
    };
    first_host.handle_request = record_headers(first_host.handle_request);
    second_host.handle_request = record_headers(second_host.handle_request);
    const auto result = cluster.call(first_host, "GET", "/read/2f?x=1", "id-7");
    BOOST_TEST(result.response.status == 200U);
    BOOST_TEST(result.response.body == "hello");
    BOOST_TEST(find_header(result.response.headers, "Goldcrestwell-Response-Signature").has_value());
    BOOST_TEST(find_header(received_headers, "Goldcrestwell-Request-Id").value_or("") == "id-7");
    BOOST_TEST(find_header(received_headers, "Goldcrestwell-Caller-Service").value_or("") == "orders");
    BOOST_TEST(find_header(received_headers, "Goldcrestwell-Target-Instance").value_or("").starts_with("u-"));
    const auto remaining_ms =
        std::stoi(std::string{find_header(received_headers, "Goldcrestwell-Deadline-Ms").value_or("0")});
    BOOST_TEST((remaining_ms > 0 && remaining_ms <= 1'000));
    BOOST_TEST(cluster.call(first_host, "GET", "/none/").response.status == 404U);
}

// Guards against a newer configuration that does not reach every node, and against a later record with a lower version
// that replaces it.
BOOST_FIXTURE_TEST_CASE(only_newer_configuration_is_applied, fixture) {
    cluster.write_config(9, "orders", "/new/");
    BOOST_TEST(cluster.wait_for([this] { return cluster.call(first_host, "GET", "/new/a").response.status == 200U; }));
    BOOST_TEST(cluster.wait_for([this] { return cluster.call(second_host, "GET", "/new/a").response.status == 200U; }));
    cluster.write_config(5, "orders", "/read/");
    cluster.run_for(milliseconds{300});
    BOOST_TEST(cluster.call(first_host, "GET", "/new/a").response.status == 200U);
    BOOST_TEST(cluster.call(first_host, "GET", "/read/a").response.status == 404U);
}

// Guards against a status that omits the configuration version if the configuration comes from an operator's document.
BOOST_FIXTURE_TEST_CASE(status_shows_configuration_version, fixture) {
    BOOST_TEST(cluster.status(first_host).find("\"config_version\": 3") != std::string::npos);
}

// Guards against calls to an upstream that has announced that it is draining.
BOOST_FIXTURE_TEST_CASE(draining_upstream_receives_no_calls, fixture) {
    BOOST_TEST(cluster.announce(first_host, "draining") == 200U);
    cluster.run_for(milliseconds{1'000});
    const auto run_count_before = first_host.run_count;
    for (int i = 0; i < 8; ++i) {
        BOOST_TEST(cluster.call(i % 2 == 0 ? first_host : second_host, "GET", "/read/a").response.status == 200U);
    }
    BOOST_TEST(first_host.run_count == run_count_before);
    // A delayed announcement with a lower sequence number must not make the upstream available again.
    first_host.sequence = 0;
    BOOST_TEST(cluster.announce(first_host) == 200U);
    cluster.run_for(milliseconds{300});
    static_cast<void>(cluster.call(second_host, "GET", "/read/a"));
    BOOST_TEST(first_host.run_count == run_count_before);
}

// Guards against a node that is killed after it acknowledged that its upstream has left, and then takes a late
// heartbeat of the upstream for a start.
BOOST_FIXTURE_TEST_CASE(restarted_node_does_not_use_an_upstream_that_has_left, fixture) {
    BOOST_TEST(cluster.withdraw(first_host) == 200U);
    cluster.start(first_host);
    const auto is_first_ready = [this] {
        return cluster.ready(first_host) == 200U;
    };
    BOOST_REQUIRE(cluster.wait_for(is_first_ready));
    const auto run_count_before = first_host.run_count;
    const auto call_both = [this] {
        cluster.run_for(milliseconds{1'000});
        for (int i = 0; i < 8; ++i) {
            const auto& caller = i % 2 == 0 ? first_host : second_host;
            BOOST_TEST(cluster.call(caller, "GET", "/read/a").response.status == 200U);
        }
    };
    BOOST_TEST(cluster.announce(first_host) == 200U);
    call_both();
    BOOST_TEST(first_host.run_count == run_count_before);
    // A new start of the upstream is used.
    ++first_host.born;
    first_host.sequence = 0;
    BOOST_TEST(cluster.announce(first_host) == 200U);
    call_both();
    BOOST_TEST(first_host.run_count > run_count_before);
}

// Guards against a departure that is acknowledged while nothing but the process holds it, and against one that is never
// acknowledged (review/8). A departure that is not acknowledged still takes the upstream out of use.
BOOST_FIXTURE_TEST_CASE(departure_is_acknowledged_once_the_store_holds_it, fixture) {
    cluster.store.set_down(true);
    BOOST_TEST(cluster.withdraw(first_host) == 503U);
    const auto key = "departed/" + to_string(first_host.settings.self);
    BOOST_TEST(cluster.store.newest("keyed.nodes", key).empty());
    cluster.run_for(milliseconds{300});
    const auto run_count_before = first_host.run_count;
    for (int i = 0; i < 8; ++i) {
        BOOST_TEST(cluster.call(i % 2 == 0 ? first_host : second_host, "GET", "/read/a").response.status == 200U);
    }
    BOOST_TEST(first_host.run_count == run_count_before);
    cluster.store.set_down(false);
    BOOST_TEST(cluster.withdraw(first_host) == 200U);
    BOOST_TEST(!cluster.store.newest("keyed.nodes", key).empty());
}

// Guards against an acknowledged departure that the second of two restarts forgets, or that all nodes forget when they
// restart at the same moment.
BOOST_FIXTURE_TEST_CASE(acknowledged_departure_outlives_restarts_of_all_nodes, fixture) {
    BOOST_TEST(cluster.withdraw(first_host) == 200U);
    const auto are_ready = [this] {
        return cluster.ready(first_host) == 200U && cluster.ready(second_host) == 200U;
    };
    for (int restart = 0; restart < 2; ++restart) {
        cluster.start(first_host);
        cluster.start(second_host);
        BOOST_TEST(cluster.announce(second_host) == 200U);
        BOOST_TEST(cluster.wait_for(are_ready));
        // The departure of another upstream does not replace the first one.
        const auto id = std::exchange(first_host.upstream_id, "u-other");
        BOOST_TEST(cluster.withdraw(first_host) == 200U);
        first_host.upstream_id = id;
    }
    BOOST_TEST(cluster.announce(first_host) == 200U);
    const auto run_count_before = first_host.run_count;
    cluster.run_for(milliseconds{300});
    for (int i = 0; i < 8; ++i) {
        static_cast<void>(cluster.call(i % 2 == 0 ? first_host : second_host, "GET", "/read/a"));
    }
    BOOST_TEST(first_host.run_count == run_count_before);
}

// Guards against a process that is restarted while the store is down and takes two late heartbeats for a start, and
// against one that overwrites the departures of which it does not know yet.
BOOST_FIXTURE_TEST_CASE(late_heartbeats_without_the_store_are_no_start, fixture) {
    BOOST_TEST(cluster.withdraw(first_host) == 200U);
    cluster.store.set_down(true);
    cluster.start(first_host);
    BOOST_TEST(cluster.announce(first_host) == 200U);
    cluster.run_for(milliseconds{300});
    BOOST_TEST(cluster.announce(first_host) == 200U);
    cluster.run_for(milliseconds{300});
    const auto run_count_before = first_host.run_count;
    for (int i = 0; i < 8; ++i) {
        static_cast<void>(cluster.call(second_host, "GET", "/read/a"));
    }
    BOOST_TEST(first_host.run_count == run_count_before);
    const auto id = std::exchange(first_host.upstream_id, "u-other");
    BOOST_TEST(cluster.withdraw(first_host) == 503U);
    cluster.store.set_down(false);
    BOOST_TEST(cluster.wait_for([this] { return cluster.withdraw(first_host) == 200U; }));
    const auto record = cluster.store.newest("keyed.nodes", "departed/" + to_string(first_host.settings.self));
    BOOST_TEST(record.find('"' + id + '"') != std::string::npos);
    BOOST_TEST(record.find("u-other") != std::string::npos);
}

// Guards against an upstream that is out of use for seconds, because the store refuses its restarted node while other
// nodes can read it, and against one that has left and is used because its node can not read that.
BOOST_FIXTURE_TEST_CASE(restarted_node_learns_departures_from_a_peer, fixture) {
    BOOST_TEST(cluster.withdraw(first_host) == 200U);
    const auto store = std::exchange(first_host.settings.store, node_id{0x7F000001, test::free_port()});
    cluster.start(first_host);
    BOOST_TEST(cluster.announce(first_host) == 200U);
    const auto run_count_before = first_host.run_count;
    const auto runs_at_first = [&] {
        static_cast<void>(cluster.call(second_host, "GET", "/read/a"));
        return first_host.run_count > run_count_before;
    };
    cluster.run_for(milliseconds{2'000});
    BOOST_TEST(!runs_at_first());
    // A later start of the upstream, with a single announcement.
    ++first_host.born;
    const auto announced = cluster.loop.now().steady;
    BOOST_TEST(cluster.announce(first_host) == 200U);
    BOOST_TEST(cluster.wait_for(runs_at_first));
    BOOST_TEST((cluster.loop.now().steady - announced < milliseconds{1'500}));
    first_host.settings.store = store;
}

// Guards against a departure during the drain of the node that is acknowledged and then forgotten.
BOOST_FIXTURE_TEST_CASE(departure_during_a_drain_is_recorded, fixture) {
    first_host.sidecar_process->drain();
    BOOST_TEST(cluster.withdraw(first_host) == 200U);
    const auto key = "departed/" + to_string(first_host.settings.self);
    BOOST_TEST(!cluster.store.newest("keyed.nodes", key).empty());
}

// Guards against an entry of another writer that takes the place of an upstream in use, or that brings back one that
// has left (review/7, review/9).
BOOST_FIXTURE_TEST_CASE(entry_of_another_writer_names_no_upstream, fixture) {
    const auto id = first_host.upstream_id;
    const auto born = first_host.born;
    const auto announce_without_zone = [this](const std::string& odd_id) {
        first_host.upstream_id = odd_id;
        first_host.born += 1'000;
        return cluster.announce(first_host, "ready", [](nlohmann::json& body) { body.erase("zone"); });
    };
    first_host.handle_request = [id,
                                 respond = first_host.handle_request](const std::shared_ptr<http_exchange>& exchange) {
        BOOST_TEST(find_header(exchange->headers(), "Goldcrestwell-Target-Instance").value_or("") == id);
        respond(exchange);
    };
    const auto restore_host = [&] {
        first_host.upstream_id = id;
        first_host.born = born;
    };
    const auto runs = [this] {
        const auto before = first_host.run_count;
        for (int i = 0; i < 8; ++i) {
            BOOST_TEST(cluster.call(i % 2 == 0 ? first_host : second_host, "GET", "/read/a").response.status == 200U);
        }
        return first_host.run_count - before;
    };
    BOOST_TEST(announce_without_zone("u-foreign") == 400U);
    BOOST_TEST(announce_without_zone(id) == 400U);
    // A complete entry does not displace an upstream that goes on announcing itself either.
    first_host.upstream_id = "u-foreign";
    BOOST_TEST(cluster.announce(first_host) == 200U);
    restore_host();
    BOOST_TEST(cluster.announce(first_host) == 200U);
    BOOST_TEST(runs() > 0U);
    BOOST_TEST(cluster.announce(first_host, "draining") == 200U);
    cluster.run_for(milliseconds{1'000});
    BOOST_TEST(announce_without_zone(id) == 400U);
    cluster.run_for(milliseconds{300});
    BOOST_TEST(runs() == 0U);
}

// Guards against a retry of a non-idempotent call whose response was lost, and against a status that claims it did not
// run.
BOOST_FIXTURE_TEST_CASE(non_idempotent_call_without_response_is_not_retried_or_reported_as_not_run, fixture) {
    const auto never_respond = [](const std::shared_ptr<http_exchange>&) {
    };
    first_host.handle_request = never_respond;
    second_host.handle_request = never_respond;
    const auto result = cluster.call(first_host, "POST", "/pay/1", "id-1", milliseconds{400});
    BOOST_TEST(total_run_count() == 1U);
    BOOST_TEST(!is_not_run_status(result.response.status));
    BOOST_TEST(result.response.status >= 500U);
}

// Guards against forwarding responses that belong to another request or have no signature, and against losing the
// information that an upstream did not run the request.
BOOST_FIXTURE_TEST_CASE(invalid_responses_are_not_forwarded, fixture) {
    const auto call_with_response = [this](const std::vector<http_header>& headers, const std::uint32_t status) {
        const auto handler = [headers, status](const std::shared_ptr<http_exchange>& exchange) {
            exchange->reply({.status = status, .headers = headers, .body = "?"});
        };
        first_host.handle_request = handler;
        second_host.handle_request = handler;
        return cluster.call(first_host, "POST", "/pay/1", "id-1").response.status;
    };
    BOOST_TEST(call_with_response({{"Goldcrestwell-Request-Id", "id-0"}, {"Goldcrestwell-Response-Signature", "s"}},
                                  200) >= 500U);
    BOOST_TEST(call_with_response({{"Goldcrestwell-Request-Id", "id-1"}}, 200) >= 500U);
    BOOST_TEST(call_with_response({{"Goldcrestwell-Not-Executed", "1"}}, 503) == 503U);
}

// Guards against invalid records in the store, announcements for another service and announcements with an unknown
// state.
BOOST_FIXTURE_TEST_CASE(invalid_input_is_ignored, fixture) {
    cluster.store.put("keyed.op", "config", "{\"version\":99");
    cluster.store.put("keyed.op", "rollout/orders", "[]");
    cluster.store.put("keyed.op", "something", "else");
    first_host.settings.upstream_service = {"forged"};
    first_host.upstream_id = "u-9";
    BOOST_TEST(cluster.announce(first_host) == 200U);
    first_host.settings.upstream_service = {"orders"};
    BOOST_TEST(cluster.announce(first_host, "sleeping") == 400U);
    cluster.run_for(milliseconds{300});
    BOOST_TEST(cluster.call(first_host, "GET", "/read/a").response.status == 200U);
}

// Guards against a node that loses its configuration while the store is unavailable, or that receives no new one after
// the store has dropped its history.
BOOST_FIXTURE_TEST_CASE(calls_succeed_during_and_after_store_failure, fixture) {
    cluster.store.set_down(true);
    cluster.store.compact("keyed.op");
    cluster.run_for(milliseconds{500});
    BOOST_TEST(cluster.call(second_host, "GET", "/read/a").response.status == 200U);
    cluster.write_config(20, "orders", "/later/");
    cluster.store.set_down(false);
    BOOST_TEST(
        cluster.wait_for([this] { return cluster.call(first_host, "GET", "/later/a").response.status == 200U; }));
    BOOST_TEST(
        cluster.wait_for([this] { return cluster.call(second_host, "GET", "/later/a").response.status == 200U; }));
}

// Guards against a restarted node that does not become ready or does not serve calls.
BOOST_FIXTURE_TEST_CASE(restarted_node_rejoins_its_peers, fixture) {
    cluster.start(second_host);
    BOOST_TEST(cluster.announce(second_host) == 200U);
    BOOST_TEST(cluster.wait_for([this] { return cluster.ready(second_host) == 200U; }));
    BOOST_TEST(
        cluster.wait_for([this] { return cluster.call(second_host, "GET", "/read/a").response.status == 200U; }));
}

// Guards against a node that does not serve after a restart because the store is down, although its peers have all that
// it needs.
BOOST_FIXTURE_TEST_CASE(restarted_node_serves_while_the_store_is_down, fixture) {
    cluster.store.set_down(true);
    cluster.start(second_host);
    BOOST_TEST(cluster.announce(second_host) == 200U);
    BOOST_TEST(cluster.wait_for([this] { return cluster.ready(second_host) == 200U; }));
    BOOST_TEST(cluster.call(second_host, "GET", "/read/a").response.status == 200U);
}

// Load: rolling restarts of hundreds of nodes. Guards against calls to the store for an entry, documents and rollout
// states that the store or the peers already have. One call reads the directory; in a cluster of two, each node also
// has a long poll, and as a coordinator it checks that the end of the rollout is recorded. The long polls last longer
// than the test, so that only the calls of the restart are counted.
BOOST_FIXTURE_TEST_CASE(restarted_node_needs_three_calls_to_the_store, fixture) {
    for (auto* host : {&first_host, &second_host}) {
        host->settings.long_poll = seconds{20};
        host->settings.short_poll = seconds{20};
        cluster.start(*host);
        BOOST_REQUIRE(cluster.announce(*host) == 200U);
        BOOST_REQUIRE(cluster.wait_for([&] { return cluster.ready(*host) == 200U; }));
    }
    cluster.store.put("keyed.op", "rollout/orders",
                      nlohmann::json{{"service", "orders"}, {"target_version", "v1"}, {"ramp_s", 1}}.dump());
    BOOST_REQUIRE(cluster.wait_for([this] {
        return cluster.store.newest("keyed.status", "rollout/orders").find("completed") != std::string::npos;
    }));
    cluster.run_for(seconds{2});
    const auto calls_before = cluster.store.calls();
    cluster.start(second_host);
    BOOST_TEST(cluster.announce(second_host) == 200U);
    BOOST_TEST(cluster.wait_for([this] { return cluster.ready(second_host) == 200U; }));
    BOOST_TEST(
        cluster.wait_for([this] { return cluster.call(second_host, "GET", "/read/a").response.status == 200U; }));
    cluster.run_for(seconds{2});
    BOOST_TEST(cluster.store.calls() - calls_before <= 3U);
}

// Guards against a rollout whose completion is not recorded because responses of the store were lost.
BOOST_FIXTURE_TEST_CASE(completed_rollout_is_recorded_despite_lost_append_responses, fixture) {
    auto& third_host = cluster.add_host("orders");
    third_host.version = "v2";
    BOOST_REQUIRE(cluster.announce(third_host) == 200U);
    cluster.store.lose_append_responses(true);
    cluster.store.put("keyed.op", "rollout/orders",
                      nlohmann::json{{"service", "orders"}, {"target_version", "v2"}, {"ramp_s", 5}}.dump());
    const auto rollout_state = [this] {
        const auto text = cluster.store.newest("keyed.status", "rollout/orders");
        return text.empty() ? std::string{} : nlohmann::json::parse(text).at("state").get<std::string>();
    };
    BOOST_TEST(cluster.wait_for([&] { return rollout_state() == "running"; }));
    cluster.store.lose_append_responses(false);
    BOOST_TEST(cluster.wait_for([&] {
        for (auto* host : {&first_host, &second_host, &third_host}) {
            static_cast<void>(cluster.announce(*host));
            static_cast<void>(cluster.call(*host, "GET", "/read/a"));
        }
        return rollout_state() == "completed";
    }));
    const auto run_count_before = total_run_count();
    BOOST_TEST(cluster.call(first_host, "GET", "/read/a").response.status == 200U);
    BOOST_TEST(total_run_count() == run_count_before);
}

// Guards against a drain that aborts a call in progress or that leaves the node ready.
BOOST_FIXTURE_TEST_CASE(drain_completes_calls_in_progress, fixture) {
    std::shared_ptr<http_exchange> held_exchange;
    const auto hold_exchange = [&held_exchange](const std::shared_ptr<http_exchange>& exchange) {
        held_exchange = exchange;
    };
    const auto default_handler = first_host.handle_request;
    first_host.handle_request = hold_exchange;
    second_host.handle_request = hold_exchange;
    http_connection connection{cluster.loop, to_endpoint(first_host.settings.caller_listener), std::size_t{1} << 20U};
    std::optional<upstream_result> received_result;
    connection.send(
        {.method = "POST",
         .target = "/pay/1",
         .headers = {{.name = "Host", .value = "shop.example"}, {.name = "Goldcrestwell-Request-Id", .value = "id-1"}},
         .timeout = seconds{5}},
        [&received_result](const upstream_result& result) { received_result = result; });
    BOOST_REQUIRE(cluster.wait_for([&held_exchange] { return held_exchange != nullptr; }));
    first_host.sidecar_process->drain();
    BOOST_TEST(cluster.ready(first_host) == 503U);
    default_handler(held_exchange);
    BOOST_TEST(cluster.wait_for([&received_result] { return received_result.has_value(); }));
    BOOST_TEST(received_result->response.status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
