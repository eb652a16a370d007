// Calls that arrive after a change of the configuration while older ones are still in progress.

#include "goldcrestwell/shell/http_headers.hpp"
#include "platform/sidecar_cluster.hpp"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using test::sidecar_cluster;

namespace {

constexpr std::size_t slots = 4;
constexpr int split_calls = 12;

/** @brief Connection of a caller on which requests are sent without waiting for the responses. */
class pipelining_caller {
public:
    explicit pipelining_caller(const node_id server) : socket_{::socket(AF_INET, SOCK_STREAM, 0)} {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port());
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        // A connection to a listener is accepted by the kernel, so no loop has to run.
        BOOST_REQUIRE(::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    }
    ~pipelining_caller() { ::close(socket_); }

    pipelining_caller(const pipelining_caller&) = delete;
    pipelining_caller& operator=(const pipelining_caller&) = delete;

    void send(const std::string& target, const std::string& id) const {
        const auto text = "GET " + target + " HTTP/1.1\r\nHost: shop.example\r\nGoldcrestwell-Request-Id: " + id +
                          "\r\nGoldcrestwell-Deadline-Ms: 3000\r\n\r\n";
        BOOST_REQUIRE(::send(socket_, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    }
    /** @return Number of status lines with a status that were received up to now. */
    [[nodiscard]] std::size_t count(const std::string& status) {
        std::string chunk(std::size_t{1} << 16U, '\0');
        for (;;) {
            const auto size = ::recv(socket_, chunk.data(), chunk.size(), MSG_DONTWAIT);
            if (size <= 0) {
                break;
            }
            received_.append(chunk, 0, static_cast<std::size_t>(size));
        }
        std::size_t found = 0;
        for (auto at = received_.find("HTTP/1.1 " + status); at != std::string::npos;
             at = received_.find("HTTP/1.1 " + status, at + 1)) {
            ++found;
        }
        return found;
    }

private:
    int socket_;
    std::string received_;
};

/** @brief A host of an old service and two of a new one, with a route that leads to the old one. */
struct fixture {
    fixture() {
        for (auto* host : {&old_host, &new_host, &other_new_host}) {
            host->handle_request = [this, host,
                                    reply = host->handle_request](const std::shared_ptr<http_exchange>& exchange) {
                const auto id = find_header(exchange->headers(), "Goldcrestwell-Request-Id").value_or("");
                runs[std::string{id}].push_back(host->settings.upstream_service.value);
                handle(*host, exchange, reply);
            };
        }
        write({{"r-read", {{"old", 1}}}}, 3);
        for (auto* host : {&old_host, &new_host, &other_new_host}) {
            BOOST_REQUIRE(cluster.announce(*host) == 200U);
        }
        BOOST_REQUIRE(cluster.wait_for([this] {
            return std::ranges::all_of(cluster.hosts,
                                       [this](const auto& host) { return cluster.ready(*host) == 200U; });
        }));
        cluster.run_for(milliseconds{300});
    }

    using route_shares = std::map<std::string, std::map<std::string, int>>;

    /** @brief Writes a configuration whose routes have the path prefix `/NAME/`. */
    void write(const route_shares& routes, const std::uint64_t version) {
        nlohmann::json config{{"version", version},
                              {"routes", nlohmann::json::object()},
                              {"services", nlohmann::json::object()},
                              {"limits",
                               {{"max_header_bytes", 16'384},
                                {"max_body_bytes", 1'048'576},
                                {"header_timeout_ms", 3'000},
                                {"idle_timeout_ms", 15'000}}}};
        for (const auto& service : {"old", "new"}) {
            config["services"][service] = {{"health_path", "/health"}, {"max_connections", 130}};
        }
        for (const auto& [name, services] : routes) {
            nlohmann::json route{{"host", "shop.example"},     {"path_prefix", "/" + name + "/"},
                                 {"route_kind", "idempotent"}, {"timeout_ms", 2'000},
                                 {"target_latency_ms", 500},   {"priority", 1},
                                 {"max_attempts", 3}};
            if (services.size() == 1) {
                route["service"] = services.begin()->first;
            } else {
                route["traffic_split"] = nlohmann::json::array();
                for (const auto& [service, weight] : services) {
                    route["traffic_split"].push_back({{"service", service}, {"weight", weight}});
                }
            }
            config["routes"][name] = route;
        }
        cluster.store.put("keyed.op", "config", config.dump());
    }
    void change_to(const route_shares& routes, const std::uint64_t version) {
        write(routes, version);
        const auto text = "\"config_version\": " + std::to_string(version);
        BOOST_REQUIRE(cluster.wait_for([this, &text] {
            return std::ranges::all_of(cluster.hosts, [this, &text](const auto& host) {
                return cluster.status(*host).find(text) != std::string::npos;
            });
        }));
    }
    [[nodiscard]] std::size_t runs_at(const std::string& id, const std::string& service) const {
        const auto found = runs.find(id);
        return found == runs.end() ? 0 : static_cast<std::size_t>(std::ranges::count(found->second, service));
    }

    sidecar_cluster cluster;
    sidecar_cluster::host& old_host{cluster.add_host("old")};
    sidecar_cluster::host& new_host{cluster.add_host("new")};
    sidecar_cluster::host& other_new_host{cluster.add_host("new")};
    /** @brief Services that ran each request, in order. */
    std::map<std::string, std::vector<std::string>> runs;
    /** @brief Requests that an upstream holds. */
    std::vector<std::shared_ptr<http_exchange>> held;
    std::function<void(sidecar_cluster::host&, const std::shared_ptr<http_exchange>&,
                       const sidecar_cluster::request_handler&)>
        handle{[](sidecar_cluster::host&, const auto& exchange, const auto& reply) {
            reply(exchange);
        }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(config_changes)

// Guards against a call that is sent to the old service because older calls to it are running and queued there.
BOOST_FIXTURE_TEST_CASE(calls_after_a_change_pass_queued_ones, fixture) {
    handle = [this](sidecar_cluster::host& host, const auto& exchange, const auto& reply) {
        if (&host == &old_host) {
            held.push_back(exchange);
        } else {
            reply(exchange);
        }
    };
    std::vector<std::unique_ptr<pipelining_caller>> callers;
    for (std::size_t i = 0; i < slots * 3; ++i) {
        callers.push_back(
            std::make_unique<pipelining_caller>((i % 2 == 0 ? old_host : new_host).settings.caller_listener));
        callers.back()->send("/r-read/a", "before-" + std::to_string(i));
    }
    BOOST_REQUIRE(cluster.wait_for([this] { return held.size() >= slots; }));
    change_to({{"r-read", {{"new", 1}}}}, 9);
    for (const auto& host : cluster.hosts) {
        for (int i = 0; i < 4; ++i) {
            const auto id = "after-" + host->upstream_id + "-" + std::to_string(i);
            BOOST_TEST(cluster.call(*host, "GET", "/r-read/a", id).response.status == 200U);
            BOOST_TEST(runs_at(id, "old") == 0U);
            BOOST_TEST(runs_at(id, "new") == 1U);
        }
    }
}

// Guards against requests that take the route of the one before them on their connection.
BOOST_FIXTURE_TEST_CASE(pipelined_calls_after_a_change_use_the_new_route, fixture) {
    handle = [this](sidecar_cluster::host& host, const auto& exchange, const auto& reply) {
        if (&host == &old_host) {
            held.push_back(exchange);
        } else {
            reply(exchange);
        }
    };
    for (auto* host : {&old_host, &new_host}) {
        held.clear();
        runs.clear();
        change_to({{"r-read", {{"old", 1}}}}, host == &old_host ? 5 : 20);
        pipelining_caller caller{host->settings.caller_listener};
        caller.send("/r-read/a", "first");
        caller.send("/later/a", "without-route");
        BOOST_REQUIRE(cluster.wait_for([this] { return held.size() == 1U; }));
        change_to({{"r-read", {{"new", 1}}}, {"later", {{"new", 1}}}}, host == &old_host ? 9 : 29);
        caller.send("/r-read/a", "second");
        caller.send("/later/a", "third");
        cluster.run_for(milliseconds{100});
        held.front()->reply({.status = 200,
                             .headers = {{.name = "Goldcrestwell-Request-Id", .value = "first"},
                                         {.name = "Goldcrestwell-Response-Signature", .value = old_host.upstream_id}},
                             .body = "hello"});
        BOOST_TEST(cluster.wait_for([&caller] { return caller.count("200") >= 3U; }));
        BOOST_TEST(runs_at("second", "old") == 0U);
        BOOST_TEST(runs_at("second", "new") == 1U);
        BOOST_TEST(runs_at("third", "new") == 1U);
    }
}

// Guards against a repeat of a call that goes to the service of an older configuration.
BOOST_FIXTURE_TEST_CASE(repeats_after_a_change_stay_with_the_new_service, fixture) {
    BOOST_TEST(cluster.call(old_host, "GET", "/r-read/a", "before").response.status == 200U);
    change_to({{"r-read", {{"new", 1}}}}, 9);
    std::map<std::string, int> failures;
    handle = [&failures](sidecar_cluster::host&, const auto& exchange, const auto& reply) {
        const auto id = std::string{find_header(exchange->headers(), "Goldcrestwell-Request-Id").value_or("")};
        if (++failures[id] == 1) {
            exchange->reply({.status = 500,
                             .headers = {{.name = "Goldcrestwell-Request-Id", .value = id},
                                         {.name = "Goldcrestwell-Response-Signature", .value = "s"}}});
        } else {
            reply(exchange);
        }
    };
    std::size_t repeated = 0;
    for (int i = 0; i < 8; ++i) {
        const auto id = "after-" + std::to_string(i);
        static_cast<void>(cluster.call(i % 2 == 0 ? old_host : new_host, "GET", "/r-read/a", id));
        BOOST_TEST(runs_at(id, "old") == 0U);
        repeated += runs_at(id, "new") > 1 ? 1U : 0U;
    }
    BOOST_TEST(repeated > 0U);
}

// Guards against a call that a running request makes and that uses the configuration of the time at which that request
// arrived.
BOOST_FIXTURE_TEST_CASE(calls_of_running_requests_use_the_new_route, fixture) {
    change_to({{"r-read", {{"old", 1}}}, {"inner", {{"old", 1}}}}, 5);
    handle = [this](sidecar_cluster::host&, const auto& exchange, const auto& reply) {
        if (exchange->path().starts_with("/r-read/")) {
            held.push_back(exchange);
        } else {
            reply(exchange);
        }
    };
    pipelining_caller caller{new_host.settings.caller_listener};
    caller.send("/r-read/a", "outer");
    BOOST_REQUIRE(cluster.wait_for([this] { return held.size() == 1U; }));
    BOOST_TEST(cluster.call(old_host, "GET", "/inner/a", "outer").response.status == 200U);
    BOOST_TEST(runs_at("outer", "old") == 2U);
    change_to({{"r-read", {{"new", 1}}}, {"inner", {{"new", 1}}}}, 9);
    runs.clear();
    BOOST_TEST(cluster.call(old_host, "GET", "/inner/a", "outer").response.status == 200U);
    BOOST_TEST(runs_at("outer", "old") == 0U);
    BOOST_TEST(runs_at("outer", "new") == 1U);
}

// Guards against a route that stays without upstream after a call was refused with 404, and against one that still
// exists after its removal.
BOOST_FIXTURE_TEST_CASE(refused_route_is_served_once_it_exists, fixture) {
    for (const auto& host : cluster.hosts) {
        BOOST_TEST(cluster.call(*host, "GET", "/later/a", "none").response.status == 404U);
    }
    pipelining_caller kept{new_host.settings.caller_listener};
    kept.send("/later/a", "none");
    BOOST_TEST(cluster.wait_for([&kept] { return kept.count("404") == 1U; }));
    change_to({{"later", {{"new", 1}}}}, 9);
    for (const auto& host : cluster.hosts) {
        BOOST_TEST(cluster.call(*host, "GET", "/later/a", "some").response.status == 200U);
        BOOST_TEST(cluster.call(*host, "GET", "/r-read/a", "removed").response.status == 404U);
    }
    kept.send("/later/a", "kept");
    kept.send("/r-read/a", "kept-removed");
    BOOST_TEST(cluster.wait_for([&kept] { return kept.count("200") == 1U && kept.count("404") == 2U; }));
    BOOST_TEST(runs_at("removed", "old") == 0U);
    BOOST_TEST(runs_at("kept-removed", "old") == 0U);
}

// Guards against calls to a service whose share has been taken away or that is no longer a part of the route.
BOOST_FIXTURE_TEST_CASE(service_without_a_share_gets_no_calls, fixture) {
    change_to({{"r-read", {{"old", 50}, {"new", 50}}}}, 9);
    std::size_t to_old = 0;
    for (int i = 0; i < split_calls; ++i) {
        const auto id = "split-" + std::to_string(i);
        static_cast<void>(cluster.call(old_host, "GET", "/r-read/a", id));
        to_old += runs_at(id, "old");
    }
    BOOST_TEST(to_old > 0U);
    std::uint64_t version = 9;
    for (const auto& shares :
         {std::map<std::string, int>{{"old", 0}, {"new", 100}}, std::map<std::string, int>{{"new", 1}}}) {
        change_to({{"r-read", shares}}, ++version);
        for (int i = 0; i < split_calls; ++i) {
            const auto id = "version-" + std::to_string(version) + "-" + std::to_string(i);
            const auto& host = i % 2 == 0 ? old_host : new_host;
            BOOST_TEST(cluster.call(host, "GET", "/r-read/a", id).response.status == 200U);
            BOOST_TEST(runs_at(id, "old") == 0U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
