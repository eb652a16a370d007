// Single requests and responses within the limits, in calm.

#include "crowd/crowd_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdio>
#include <string>

using namespace goldcrestwell;
using std::chrono::seconds;
using test::crowd_cluster;

namespace {

constexpr std::size_t kibibyte = 1'024;
constexpr std::size_t mebibyte = kibibyte * kibibyte;

upstream_result send(crowd_cluster& cluster, const crowd_cluster::host& target, const std::string& method,
                     const std::string& path, const std::string& body) {
    return cluster.request(target.caller_port, {.method = method,
                                                .target = path,
                                                .headers = {{.name = "Host", .value = "shop.example"},
                                                            {.name = "Goldcrestwell-Request-Id", .value = "single"},
                                                            {.name = "Goldcrestwell-Deadline-Ms", .value = "20000"}},
                                                .body = body,
                                                .timeout = seconds{30}});
}

/** @brief Sends a body as one chunk and waits for the response. */
unsigned send_chunk(crowd_cluster& cluster, const crowd_cluster::host& target, const std::string& body) {
    const auto clients = cluster.connect(target.caller_port, 1);
    const auto& client = *clients.front();
    std::array<char, 32> prefix{};
    std::snprintf(prefix.data(), prefix.size(), "%zx\r\n", body.size());
    clients.front()->write(test::upload_head("chunked", "Transfer-Encoding: chunked") + prefix.data());
    clients.front()->write_reference(body);
    clients.front()->write(body.empty() ? "\r\n" : "\r\n0\r\n\r\n");
    BOOST_TEST(cluster.wait_for([&client] { return client.closed() || client.status() != 0; }));
    return client.status();
}

} // namespace

BOOST_AUTO_TEST_SUITE(legal_sizes)

BOOST_AUTO_TEST_CASE(single_requests_are_served) {
    crowd_cluster cluster;
    for (const auto size :
         {std::size_t{0}, std::size_t{1}, 16 * kibibyte, 64 * kibibyte - 1, 64 * kibibyte, 64 * kibibyte + 1,
          256 * kibibyte, mebibyte, 3 * mebibyte + 7, 8 * mebibyte - 1, 8 * mebibyte}) {
        const std::string body(size, 'b');
        for (const auto* target : {&cluster.front(), &cluster.back()}) {
            BOOST_TEST_CONTEXT(size << " bytes by way of " << target->service) {
                const auto result = send(cluster, *target, "POST", "/order/1", body);
                BOOST_TEST(result.response.status == 200U);
                BOOST_TEST(result.response.body == std::to_string(size));
                BOOST_TEST(send_chunk(cluster, *target, body) == 200U);
            }
        }
    }
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(single_responses_arrive_whole) {
    crowd_cluster cluster;
    std::string body;
    cluster.handle_requests([&body](const std::shared_ptr<http_exchange>& exchange) {
        exchange->method() == "GET" ? test::reply_signed(exchange, body) : test::reply_with_size(exchange);
    });
    for (const auto size : {std::size_t{0}, std::size_t{1}, 64 * kibibyte, 64 * kibibyte + 1, mebibyte, 8 * mebibyte}) {
        body.clear();
        for (std::size_t index = 0; index < size; ++index) {
            body.push_back(static_cast<char>('a' + index * index % 23));
        }
        for (const auto* target : {&cluster.front(), &cluster.back()}) {
            BOOST_TEST_CONTEXT(size << " bytes by way of " << target->service) {
                const auto result = send(cluster, *target, "GET", "/read/1", "");
                BOOST_TEST(result.response.status == 200U);
                const auto whole = result.response.body == body;
                BOOST_TEST(whole);
            }
        }
    }
    cluster.check_survival();
}

// The smallest host and the largest body of the users' deployments.
BOOST_AUTO_TEST_CASE(largest_body_is_served_on_the_smallest_host) {
    crowd_cluster cluster{{.memory_mb = 160, .max_fds = 4'100, .max_body_bytes = 64 * mebibyte}};
    const std::string body(64 * mebibyte, 'b');
    for (const auto* target : {&cluster.front(), &cluster.back()}) {
        const auto result = send(cluster, *target, "POST", "/order/1", body);
        BOOST_TEST(result.response.status == 200U);
        BOOST_TEST(result.response.body == std::to_string(body.size()));
        BOOST_TEST(send_chunk(cluster, *target, body) == 200U);
    }
    cluster.check_survival();
}

BOOST_AUTO_TEST_SUITE_END()
