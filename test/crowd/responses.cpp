// Crowds of large responses: from upstreams that misbehave, and to callers that do not read.

#include "crowd/crowd_cluster.hpp"
#include "platform/raw_upstream.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using test::crowd_cluster;
using test::raw_upstream;

namespace {

constexpr std::size_t crowd_size = 24;
constexpr std::size_t response_bytes = std::size_t{8} << 20U;

std::string read_request(const std::string& id) {
    return "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nGoldcrestwell-Request-Id: " + id +
           "\r\nGoldcrestwell-Deadline-Ms: 20000\r\n\r\n";
}

/** @brief Cluster whose upstream responds to reads with large bodies. */
struct fixture {
    fixture() {
        cluster.handle_requests([this](const std::shared_ptr<http_exchange>& exchange) {
            if (exchange->method() == "GET") {
                test::reply_signed(exchange, body);
            } else {
                test::reply_with_size(exchange);
            }
        });
    }
    std::vector<std::unique_ptr<test::raw_client>> send_reads(const std::string& prefix) {
        auto clients = cluster.connect(cluster.front().caller_port, crowd_size);
        for (std::size_t number = 0; number < clients.size(); ++number) {
            clients[number]->write(read_request(prefix + std::to_string(number)));
        }
        return clients;
    }

    std::string body = std::string(response_bytes, 'r');
    crowd_cluster cluster;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crowd_of_responses, fixture)

BOOST_AUTO_TEST_CASE(large_responses_at_once) {
    const auto clients = send_reads("large-");
    BOOST_TEST(cluster.wait_for([&clients] {
        return std::ranges::all_of(clients,
                                   [](const auto& client) { return client->closed() || client->status() != 0; });
    }));
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(callers_that_do_not_read_their_responses) {
    const auto clients = send_reads("unread-");
    for (const auto& client : clients) {
        client->stop_reading();
    }
    cluster.run_for(milliseconds{3'000});
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(pipelined_requests_of_callers_that_do_not_read) {
    cluster.handle_requests([](const std::shared_ptr<http_exchange>& exchange) {
        exchange->method() == "GET" ? test::reply_signed(exchange, std::string(60'000, 'r'))
                                    : test::reply_with_size(exchange);
    });
    const auto clients = cluster.connect(cluster.front().caller_port, crowd_size);
    for (std::size_t number = 0; number < clients.size(); ++number) {
        clients[number]->stop_reading();
        for (int repeat = 0; repeat < 200; ++repeat) {
            clients[number]->write(read_request("pipe-" + std::to_string(number) + "-" + std::to_string(repeat)));
        }
    }
    cluster.run_for(milliseconds{3'000});
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(upstream_bodies_without_end) {
    cluster.stop_upstream();
    const raw_upstream upstream{cluster.loop, cluster.back().upstream_port,
                                [](const std::string& id, const raw_upstream::connection& from) {
                                    const auto head = "HTTP/1.1 200 OK\r\nGoldcrestwell-Request-Id: " + id +
                                                      "\r\nGoldcrestwell-Response-Signature: signed\r\n";
                                    if (id.starts_with("ordinary")) {
                                        from.write(head + "Content-Length: 4\r\n\r\n1200");
                                    } else {
                                        from.write(head + "\r\n");
                                        from.write_without_end(std::string(65'536, 'e'));
                                    }
                                }};
    const auto clients = send_reads("endless-");
    BOOST_TEST(cluster.wait_for([&clients] {
        return std::ranges::all_of(clients,
                                   [](const auto& client) { return client->closed() || client->status() != 0; });
    }));
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(store_bodies_without_end) {
    cluster.stop_store();
    const raw_upstream store{cluster.loop, cluster.store_port(),
                             [](const std::string&, const raw_upstream::connection& from) {
                                 from.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
                                 from.write_without_end(std::string(65'536, 'e'));
                             }};
    cluster.run_for(milliseconds{6'000});
    BOOST_TEST(store.requests() > 0U);
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(store_bodies_without_a_length) {
    cluster.stop_store();
    const raw_upstream store{cluster.loop, cluster.store_port(),
                             [](const std::string&, const raw_upstream::connection& from) {
                                 from.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                                 from.write_without_end("10000\r\n" + std::string(65'536, 'e') + "\r\n");
                             }};
    cluster.run_for(milliseconds{6'000});
    BOOST_TEST(store.requests() > 0U);
    cluster.check_survival();
}

// The store drops its history, so the nodes read the newest records, and each page says that there are more.
BOOST_AUTO_TEST_CASE(store_pages_without_end) {
    cluster.stop_store();
    std::size_t pages = 0;
    const auto serve = [&pages](const std::shared_ptr<http_exchange>& exchange) {
        constexpr std::size_t records_per_page = 400;
        if (exchange->path() != "/goldcrestwell/log-newest") {
            exchange->reply({.status = 410, .body = "{\"first\":0}"});
            return;
        }
        ++pages;
        auto items = nlohmann::json::array();
        for (std::size_t number = 0; number < records_per_page; ++number) {
            items.push_back({{"key", "k" + std::to_string(pages * records_per_page + number)},
                             {"value", std::string(8'000, 'A')},
                             {"offset", number}});
        }
        const nlohmann::json page{{"items", std::move(items)}, {"more", true}, {"end", records_per_page}};
        exchange->reply({.status = 200, .body = page.dump()});
    };
    http_server store{cluster.loop, {.port = cluster.store_port(), .on_request = serve}};
    BOOST_REQUIRE(store.start());
    // Nodes that give up a read wait before the next one, so this number is not always reached.
    static_cast<void>(cluster.wait_for([&pages] { return pages > 120; }, std::chrono::seconds{10}));
    BOOST_TEST(pages > 0U);
    cluster.check_survival();
}

BOOST_AUTO_TEST_SUITE_END()
