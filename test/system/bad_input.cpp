#include "goldcrestwell/codec/frame_codec.hpp"
#include "goldcrestwell/codec/wire_limits.hpp"
#include "system/call_checks.hpp"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

using namespace goldcrestwell;
using namespace goldcrestwell::test;

namespace {

constexpr std::uint16_t first_port = 25'100;
constexpr std::uint64_t seed = 20'261;

std::string random_bytes(std::mt19937_64& engine, const std::size_t length) {
    std::uniform_int_distribution<int> byte{0, 255};
    std::string text(length, '\0');
    for (auto& character : text) {
        character = static_cast<char>(byte(engine));
    }
    return text;
}

std::string with_length_prefix(const std::string& body) {
    const auto length = htonl(static_cast<std::uint32_t>(body.size()));
    return std::string{reinterpret_cast<const char*>(&length), sizeof(length)} + body;
}

/** @brief Socket that sends bytes to a loopback port and stays open. */
class raw_socket {
public:
    raw_socket(const int type, const std::uint16_t port, const std::string& bytes)
        : descriptor_{socket(AF_INET, type, 0)} {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        if (connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
            static_cast<void>(send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
        }
    }
    ~raw_socket() { close(descriptor_); }

    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;

    /** @brief Checks whether the peer has closed the connection. */
    [[nodiscard]] bool closed_by_peer() const {
        char byte{};
        const auto received = recv(descriptor_, &byte, 1, MSG_DONTWAIT);
        return received == 0 || (received < 0 && errno == ECONNRESET);
    }

private:
    int descriptor_;
};

std::uint32_t status_of(test_cluster& cluster, const std::uint16_t port, const http_client_request& request) {
    return cluster.loop().request(port, request).response.status;
}

std::uint64_t drops(const nlohmann::json& status, const char* reason) {
    return status["counters"]["drops"].value(reason, std::uint64_t{});
}

} // namespace

BOOST_AUTO_TEST_SUITE(bad_input)

// Guards against a node that exits, blocks or does not count the input when it receives malformed input from a peer, a
// caller or an operator.
BOOST_AUTO_TEST_CASE(garbage_is_dropped_and_counted) {
    test_cluster cluster{{.first_port = first_port}};
    BOOST_REQUIRE(cluster.wait_until_ready());
    BOOST_REQUIRE(apply_everywhere(cluster, "/orders,orders,v1,100,,0,0,0,2000,false,proceed\n"));
    call_load load{cluster.loop(), {.ports = cluster.caller_ports({0, 1, 2})}};
    std::mt19937_64 engine{seed};
    std::vector<std::unique_ptr<raw_socket>> sockets;
    const auto open = [&sockets](const int type, const std::uint16_t port, const std::string& bytes) {
        sockets.push_back(std::make_unique<raw_socket>(type, port, bytes));
    };
    const auto peer = cluster.peer_port(0);
    const auto oversized_length = htonl(max_frame_bytes + 1);
    open(SOCK_STREAM, peer, {reinterpret_cast<const char*>(&oversized_length), sizeof(oversized_length)});
    open(SOCK_STREAM, peer, with_length_prefix(random_bytes(engine, 300)));
    open(SOCK_STREAM, peer, with_length_prefix(encode(peer_message{heartbeat{}})));
    open(SOCK_STREAM, peer, "GET / HTTP/1.1\r\n\r\n");
    BOOST_TEST(cluster.loop().wait_until([&] {
        return std::all_of(sockets.begin(), sockets.end(), [](const auto& entry) { return entry->closed_by_peer(); });
    }));
    // Connections with an incomplete frame or request stay open until their timeouts and must not delay others.
    open(SOCK_STREAM, peer, with_length_prefix(std::string(1000, 'x')).substr(0, 500));
    for (const auto listener : {cluster.caller_port(0), cluster.admin_port(0)}) {
        open(SOCK_STREAM, listener, random_bytes(engine, 2000));
        open(SOCK_STREAM, listener, "POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf");
        open(SOCK_STREAM, listener, "GET / HTTP/1.1\r\nx: " + std::string(300'000, 'y'));
    }
    for (const std::size_t length : {0, 1, 100, 1400, 1401, 60'000}) {
        open(SOCK_DGRAM, peer, random_bytes(engine, length));
    }
    const std::string large(std::size_t{10} << 20U, 'z');
    static_cast<void>(
        status_of(cluster, cluster.caller_port(0), {.method = "POST", .target = "/orders", .body = large}));
    static_cast<void>(status_of(cluster, cluster.admin_port(0), {.method = "POST", .target = "/edits", .body = large}));
    BOOST_TEST(status_of(cluster, cluster.caller_port(0),
                         {.target = "/orders", .headers = {{.name = "goldcrestwell-timeout-ms", .value = "soon"}}}) ==
               400U);
    BOOST_TEST(status_of(cluster, cluster.caller_port(0), {.target = "/elsewhere"}) == 404U);
    BOOST_TEST(status_of(cluster, cluster.admin_port(0),
                         {.method = "POST", .target = "/edits", .body = random_bytes(engine, 500)}) == 400U);
    BOOST_TEST(status_of(cluster, cluster.admin_port(0), {.method = "POST", .target = "/announce", .body = "{}"}) ==
               400U);
    BOOST_TEST(status_of(cluster, cluster.admin_port(0), {.target = "/edits?id=zz"}) == 400U);

    cluster.loop().run_for(std::chrono::seconds{1});
    BOOST_TEST(load.finish());
    BOOST_TEST(load.count(call_ending::answered) == load.records().size());
    check_calls(cluster, load);
    check_all_answered(cluster, {0, 1, 2});
    const auto node_status = cluster.status(0);
    BOOST_REQUIRE(node_status.is_object());
    BOOST_TEST_INFO(node_status["counters"].dump());
    BOOST_TEST(drops(node_status, "frame_too_large") >= 2U);
    BOOST_TEST(drops(node_status, "frame_unreadable") >= 1U);
    BOOST_TEST(drops(node_status, "unknown_sender") >= 1U);
    BOOST_TEST(drops(node_status, "datagram_unreadable") >= 2U);
    BOOST_TEST(drops(node_status, "datagram_too_large") >= 2U);
    BOOST_TEST(drops(node_status, "announcement_unreadable") >= 1U);
    BOOST_TEST(cluster.violations() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
