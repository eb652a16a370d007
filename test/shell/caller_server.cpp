#include "goldcrestwell/shell/caller_server.hpp"

#include "goldcrestwell/shell/timer.hpp"
#include "platform/free_port.hpp"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <vector>

using namespace goldcrestwell;

namespace {

/** @brief Caller server and a plain socket connected to it, so that a test controls every byte. */
struct caller_server_fixture {
    caller_server_fixture() {
        BOOST_REQUIRE(server.start());
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    }
    ~caller_server_fixture() { close(client); }
    caller_server_fixture(const caller_server_fixture&) = delete;
    caller_server_fixture& operator=(const caller_server_fixture&) = delete;

    void send(const std::string& bytes) {
        BOOST_REQUIRE(::send(client, bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
        run_loop();
    }
    void run_loop() {
        timer end{loop, [this](time_sample) {
                      loop.stop();
                  }};
        end.schedule_after(std::chrono::milliseconds{100});
        loop.run();
    }
    std::string received() {
        run_loop();
        std::array<char, 65'536> bytes{};
        const auto count = recv(client, bytes.data(), bytes.size(), MSG_DONTWAIT);
        return count > 0 ? std::string{bytes.data(), static_cast<std::size_t>(count)} : "";
    }

    event_loop loop;
    std::uint16_t port{test::free_port()};
    std::vector<std::shared_ptr<http_exchange>> requests;
    caller_server server{loop, {.port = port, .on_request = [this](const auto& request) {
                                    requests.push_back(request);
                                }}};
    int client{socket(AF_INET, SOCK_STREAM, 0)};
};

} // namespace

BOOST_AUTO_TEST_SUITE(caller_http_server)

// Guards against serving pipelined requests one at a time: each would wait for all earlier ones.
BOOST_FIXTURE_TEST_CASE(pipelined_requests_run_concurrently_with_ordered_responses, caller_server_fixture) {
    send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_REQUIRE(requests.size() == 2U);
    requests[1]->reply({.status = 200, .body = "two"});
    BOOST_TEST(received().empty());
    requests[0]->reply({.status = 200, .body = "one"});
    const auto responses = received();
    BOOST_TEST(responses.find("one") < responses.find("two"));
    BOOST_TEST(responses.find("two") != std::string::npos);
}

// Guards against request smuggling: a second request hidden in the body of the first.
BOOST_FIXTURE_TEST_CASE(ambiguous_length_is_rejected, caller_server_fixture) {
    send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x");
    BOOST_TEST(requests.empty());
    BOOST_TEST(received().starts_with("HTTP/1.1 400 "));
}

// Guards against work that continues for a caller that has disconnected.
BOOST_FIXTURE_TEST_CASE(disconnected_caller_is_reported, caller_server_fixture) {
    send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_REQUIRE(requests.size() == 1U);
    bool disconnected = false;
    requests[0]->on_disconnect([&disconnected] { disconnected = true; });
    shutdown(client, SHUT_RDWR);
    run_loop();
    BOOST_TEST(disconnected);
}

// Guards against ignoring the limits that the operators set.
BOOST_FIXTURE_TEST_CASE(limits_are_enforced, caller_server_fixture) {
    server.set_limits({.max_header_bytes = 200, .max_body_bytes = 10});
    send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n");
    BOOST_TEST(received().starts_with("HTTP/1.1 413 "));
}

// Guards against a truncated response: the connection was closed before the whole response was written, as in downloads
// over slow links while nodes stop one after the other.
BOOST_FIXTURE_TEST_CASE(response_is_written_before_the_connection_closes, caller_server_fixture) {
    const std::string body(std::size_t{16} << 20U, 'x');
    send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_REQUIRE(requests.size() == 1U);
    requests[0]->reply({.status = 200, .body = body});
    server.close_connections();
    std::size_t bytes = 0;
    // Alternates between running the server and reading what the kernel has buffered.
    for (int turns = 0; turns < 600 && bytes < body.size(); ++turns) {
        timer end{loop, [this](time_sample) {
                      loop.stop();
                  }};
        end.schedule_after(std::chrono::milliseconds{1});
        loop.run();
        std::array<char, 65'536> chunk{};
        for (auto count = recv(client, chunk.data(), chunk.size(), MSG_DONTWAIT); count > 0;
             count = recv(client, chunk.data(), chunk.size(), MSG_DONTWAIT)) {
            bytes += static_cast<std::size_t>(count);
        }
    }
    BOOST_TEST(bytes > body.size());
}

BOOST_AUTO_TEST_SUITE_END()
