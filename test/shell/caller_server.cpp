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

/** @brief A server and one plain connection to it, so that a test chooses every byte. */
struct fixture {
    fixture() {
        BOOST_REQUIRE(server.start());
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    }
    ~fixture() { close(client); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    void send(const std::string& bytes) {
        BOOST_REQUIRE(::send(client, bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
        turn();
    }
    void turn() {
        timer end{loop, [this](time_sample) {
                      loop.stop();
                  }};
        end.arm_after(std::chrono::milliseconds{100});
        loop.run();
    }
    std::string received() {
        turn();
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

BOOST_AUTO_TEST_SUITE(server_for_callers)

// Load: callers that send further requests before the first is answered. One at a time, each waits for all before it.
BOOST_FIXTURE_TEST_CASE(pipelined_requests_run_together_and_are_answered_in_order, fixture) {
    send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_REQUIRE(requests.size() == 2U);
    requests[1]->reply({.status = 200, .body = "two"});
    BOOST_TEST(received().empty());
    requests[0]->reply({.status = 200, .body = "one"});
    const auto answers = received();
    BOOST_TEST(answers.find("one") < answers.find("two"));
    BOOST_TEST(answers.find("two") != std::string::npos);
}

// Guards against a second request hidden in the body of the first.
BOOST_FIXTURE_TEST_CASE(ambiguous_length_is_refused, fixture) {
    send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x");
    BOOST_TEST(requests.empty());
    BOOST_TEST(received().starts_with("HTTP/1.1 400 "));
}

// Guards against work that goes on for a caller who has left.
BOOST_FIXTURE_TEST_CASE(caller_that_leaves_is_noticed, fixture) {
    send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_REQUIRE(requests.size() == 1U);
    bool gone = false;
    requests[0]->on_gone([&gone] { gone = true; });
    shutdown(client, SHUT_RDWR);
    turn();
    BOOST_TEST(gone);
}

// Guards against limits of the operators that are not kept.
BOOST_FIXTURE_TEST_CASE(limits_are_kept, fixture) {
    server.set_limits({.max_header_bytes = 200, .max_body_bytes = 10});
    send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n");
    BOOST_TEST(received().starts_with("HTTP/1.1 413 "));
}

// Load: downloads over thin links while nodes stop one after the other. Guards against an answer that is cut because
// its connection is closed while a part of it is still to be written.
BOOST_FIXTURE_TEST_CASE(answer_is_written_before_its_connection_is_closed, fixture) {
    const std::string body(std::size_t{16} << 20U, 'x');
    send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_REQUIRE(requests.size() == 1U);
    requests[0]->reply({.status = 200, .body = body});
    server.close_connections();
    std::size_t bytes = 0;
    // What the kernel holds for the connection is read in turns with what the server still has to write.
    for (int turns = 0; turns < 600 && bytes < body.size(); ++turns) {
        timer end{loop, [this](time_sample) {
                      loop.stop();
                  }};
        end.arm_after(std::chrono::milliseconds{1});
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
