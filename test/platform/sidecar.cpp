#include "goldcrestwell/shell/http_headers.hpp"
#include "platform/site.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::site;

namespace {

/** @brief Two hosts of a service, ready to serve. */
struct fixture {
    fixture() {
        place.configure(3, "orders");
        for (auto* host : {&one, &two}) {
            BOOST_REQUIRE(place.announce(*host) == 200U);
        }
        BOOST_REQUIRE(place.wait_for([this] { return place.ready(one) == 200U && place.ready(two) == 200U; }));
    }

    [[nodiscard]] std::size_t runs() const { return one.runs + two.runs; }

    site place;
    site::host& one{place.add_host("orders")};
    site::host& two{place.add_host("orders")};
};

bool says_not_run(const std::uint32_t status) {
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_on_the_platform)

// Guards the whole path: settings, store, heartbeat, membership, routing, the peer hop and the upstream's answer.
BOOST_FIXTURE_TEST_CASE(call_is_served_with_the_headers_of_the_platform, fixture) {
    std::vector<http_header> seen;
    const auto plain = one.answer;
    const auto keep = [&seen](const site::upstream_hook& answer) {
        return [&seen, answer](const std::shared_ptr<http_exchange>& exchange) {
            seen = exchange->headers();
            answer(exchange);
        };
    };
    one.answer = keep(one.answer);
    two.answer = keep(two.answer);
    const auto result = place.call(one, "GET", "/read/2f?x=1", "id-7");
    BOOST_TEST(result.response.status == 200U);
    BOOST_TEST(result.response.body == "hello");
    BOOST_TEST(find_header(result.response.headers, "Goldcrestwell-Response-Signature").has_value());
    BOOST_TEST(find_header(seen, "Goldcrestwell-Request-Id").value_or("") == "id-7");
    BOOST_TEST(find_header(seen, "Goldcrestwell-Caller-Service").value_or("") == "orders");
    BOOST_TEST(find_header(seen, "Goldcrestwell-Target-Instance").value_or("").starts_with("u-"));
    const auto left = std::stoi(std::string{find_header(seen, "Goldcrestwell-Deadline-Ms").value_or("0")});
    BOOST_TEST((left > 0 && left <= 1'000));
    BOOST_TEST(place.call(one, "GET", "/none/").response.status == 404U);
}

// Guards against a configuration that is not in force on every node, or one that goes back.
BOOST_FIXTURE_TEST_CASE(newer_configuration_is_in_force_and_stays, fixture) {
    place.configure(9, "orders", "/new/");
    BOOST_TEST(place.wait_for([this] { return place.call(one, "GET", "/new/a").response.status == 200U; }));
    BOOST_TEST(place.wait_for([this] { return place.call(two, "GET", "/new/a").response.status == 200U; }));
    place.configure(5, "orders", "/read/");
    place.run_for(milliseconds{300});
    BOOST_TEST(place.call(one, "GET", "/new/a").response.status == 200U);
    BOOST_TEST(place.call(one, "GET", "/read/a").response.status == 404U);
}

// Guards against a status that shows no configuration where it comes from operators' documents.
BOOST_FIXTURE_TEST_CASE(status_shows_the_version_in_force, fixture) {
    BOOST_TEST(place.status(one).find("\"config_version\": 3") != std::string::npos);
}

// Guards against work for an upstream that has said it leaves.
BOOST_FIXTURE_TEST_CASE(leaving_upstream_gets_no_work_after_its_drain, fixture) {
    BOOST_TEST(place.announce(one, "draining") == 200U);
    place.run_for(milliseconds{1'000});
    const auto before = one.runs;
    for (int i = 0; i < 8; ++i) {
        BOOST_TEST(place.call(i % 2 == 0 ? one : two, "GET", "/read/a").response.status == 200U);
    }
    BOOST_TEST(one.runs == before);
    // A heartbeat that was delayed must not bring the upstream back.
    one.sequence = 0;
    BOOST_TEST(place.announce(one) == 200U);
    place.run_for(milliseconds{300});
    static_cast<void>(place.call(two, "GET", "/read/a"));
    BOOST_TEST(one.runs == before);
}

// Guards against a second run, or a promise that nothing ran, after an answer was lost.
BOOST_FIXTURE_TEST_CASE(lost_answer_of_a_payment_is_neither_repeated_nor_denied, fixture) {
    const auto vanish = [](const std::shared_ptr<http_exchange>&) {
    };
    one.answer = vanish;
    two.answer = vanish;
    const auto result = place.call(one, "POST", "/pay/1", "id-1", milliseconds{400});
    BOOST_TEST(runs() == 1U);
    BOOST_TEST(!says_not_run(result.response.status));
    BOOST_TEST(result.response.status >= 500U);
}

// Guards against answers that belong to another request, have no signature or were not run.
BOOST_FIXTURE_TEST_CASE(wrong_answers_are_not_passed_on, fixture) {
    const auto answer_with = [this](const std::vector<http_header>& headers, const std::uint32_t status) {
        const auto hook = [headers, status](const std::shared_ptr<http_exchange>& exchange) {
            exchange->reply({.status = status, .headers = headers, .body = "?"});
        };
        one.answer = hook;
        two.answer = hook;
        return place.call(one, "POST", "/pay/1", "id-1").response.status;
    };
    BOOST_TEST(answer_with({{"Goldcrestwell-Request-Id", "id-0"}, {"Goldcrestwell-Response-Signature", "s"}}, 200) >=
               500U);
    BOOST_TEST(answer_with({{"Goldcrestwell-Request-Id", "id-1"}}, 200) >= 500U);
    BOOST_TEST(answer_with({{"Goldcrestwell-Not-Executed", "1"}}, 503) == 503U);
}

// Guards against forged and unreadable input from every side.
BOOST_FIXTURE_TEST_CASE(bad_input_changes_nothing, fixture) {
    place.store.put("keyed.op", "config", "{\"version\":99");
    place.store.put("keyed.op", "rollout/orders", "[]");
    place.store.put("keyed.op", "something", "else");
    one.settings.upstream_service = {"forged"};
    one.upstream_id = "u-9";
    BOOST_TEST(place.announce(one) == 200U);
    one.settings.upstream_service = {"orders"};
    BOOST_TEST(place.announce(one, "sleeping") == 400U);
    place.run_for(milliseconds{300});
    BOOST_TEST(place.call(one, "GET", "/read/a").response.status == 200U);
}

// Guards against a node that forgets its configuration, or never sees a new one, because of the store.
BOOST_FIXTURE_TEST_CASE(store_that_fails_or_drops_its_history_costs_no_calls, fixture) {
    place.store.set_down(true);
    place.store.compact("keyed.op");
    place.run_for(milliseconds{500});
    BOOST_TEST(place.call(two, "GET", "/read/a").response.status == 200U);
    place.configure(20, "orders", "/later/");
    place.store.set_down(false);
    BOOST_TEST(place.wait_for([this] { return place.call(one, "GET", "/later/a").response.status == 200U; }));
    BOOST_TEST(place.wait_for([this] { return place.call(two, "GET", "/later/a").response.status == 200U; }));
}

// Guards against a node that starts while the store is down and serves nothing although its peers know what to do.
BOOST_FIXTURE_TEST_CASE(restarted_node_knows_its_peers_again, fixture) {
    place.start(two);
    BOOST_TEST(place.announce(two) == 200U);
    BOOST_TEST(place.wait_for([this] { return place.ready(two) == 200U; }));
    BOOST_TEST(place.wait_for([this] { return place.call(two, "GET", "/read/a").response.status == 200U; }));
}

// Guards against a rollout whose end is not recorded because the store loses an answer.
BOOST_FIXTURE_TEST_CASE(rollout_of_a_good_version_is_recorded, fixture) {
    auto& three = place.add_host("orders");
    three.version = "v2";
    BOOST_REQUIRE(place.announce(three) == 200U);
    place.store.lose_append_answers(true);
    place.store.put("keyed.op", "rollout/orders",
                    nlohmann::json{{"service", "orders"}, {"target_version", "v2"}, {"ramp_s", 5}}.dump());
    const auto state = [this] {
        const auto text = place.store.newest("keyed.status", "rollout/orders");
        return text.empty() ? std::string{} : nlohmann::json::parse(text).at("state").get<std::string>();
    };
    BOOST_TEST(place.wait_for([&] { return state() == "running"; }));
    place.store.lose_append_answers(false);
    BOOST_TEST(place.wait_for([&] {
        for (auto* host : {&one, &two, &three}) {
            static_cast<void>(place.announce(*host));
            static_cast<void>(place.call(*host, "GET", "/read/a"));
        }
        return state() == "completed";
    }));
    const auto before = runs();
    BOOST_TEST(place.call(one, "GET", "/read/a").response.status == 200U);
    BOOST_TEST(runs() == before);
}

// Guards against a drain that cuts a request or leaves the node ready.
BOOST_FIXTURE_TEST_CASE(drain_finishes_what_is_in_progress, fixture) {
    std::shared_ptr<http_exchange> held;
    const auto hold = [&held](const std::shared_ptr<http_exchange>& exchange) {
        held = exchange;
    };
    const auto plain = one.answer;
    one.answer = hold;
    two.answer = hold;
    http_connection connection{place.loop, to_endpoint(one.settings.caller_listener), std::size_t{1} << 20U};
    std::optional<upstream_result> received;
    connection.send(
        {.method = "POST",
         .target = "/pay/1",
         .headers = {{.name = "Host", .value = "shop.example"}, {.name = "Goldcrestwell-Request-Id", .value = "id-1"}},
         .timeout = seconds{5}},
        [&received](const upstream_result& result) { received = result; });
    BOOST_REQUIRE(place.wait_for([&held] { return held != nullptr; }));
    one.process->drain();
    BOOST_TEST(place.ready(one) == 503U);
    plain(held);
    BOOST_TEST(place.wait_for([&received] { return received.has_value(); }));
    BOOST_TEST(received->response.status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
