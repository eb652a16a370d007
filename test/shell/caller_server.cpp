#include "goldcrestwell/shell/caller_server.hpp"

#include "goldcrestwell/core/common/memory_budget.hpp"
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

    /** @brief Opens one more connection; the caller closes it. */
    [[nodiscard]] int connect_another() {
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        run_loop();
        return descriptor;
    }

    event_loop loop;
    std::uint16_t port{test::free_port()};
    std::shared_ptr<memory_budget> memory{std::make_shared<memory_budget>(
        memory_budget_options{.capacity_bytes = 1'000'000, .small_use_bytes = 400'000})};
    std::vector<std::shared_ptr<http_exchange>> requests;
    caller_server server{
        loop, {.port = port, .max_connections = 2, .memory = memory, .on_request = [this](const auto& request) {
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

// Guards against a request that is collected although it cannot be held: it must be refused before it is sent.
BOOST_FIXTURE_TEST_CASE(announced_body_without_memory_is_refused_at_once, caller_server_fixture) {
    server.set_limits({.max_body_bytes = 10'000'000});
    send("POST /1 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 700000\r\n\r\n");
    const auto response = received();
    BOOST_TEST(response.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(response.find("Retry-After: 1\r\n") != std::string::npos);
    BOOST_TEST(requests.empty());
}

// Guards against memory that is kept for a request that has ended or was refused.
BOOST_FIXTURE_TEST_CASE(memory_of_a_request_is_released_with_it, caller_server_fixture) {
    send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n");
    const auto used_while_incomplete = memory->used();
    send(std::string(9'000, 'b'));
    BOOST_REQUIRE(requests.size() == 1U);
    BOOST_TEST(memory->used() == used_while_incomplete);
    requests.front()->reply({.status = 200});
    requests.clear();
    BOOST_TEST(!received().empty());
    BOOST_TEST(memory->used() + 9'000 < used_while_incomplete);
}

// Guards against a caller that keeps a connection for ever by sending its head byte by byte.
BOOST_FIXTURE_TEST_CASE(head_that_arrives_slowly_times_out, caller_server_fixture) {
    server.set_limits({.header_timeout = std::chrono::milliseconds{250}});
    std::string answer;
    for (int sent = 0; sent < 50 && answer.empty(); ++sent) {
        send(sent == 0 ? "GET /1 HTTP/1.1\r\nA: " : "a");
        answer = received();
    }
    BOOST_TEST(answer.starts_with("HTTP/1.1 408 "));
}

// Guards against a time-out of a body that makes progress.
BOOST_FIXTURE_TEST_CASE(body_that_makes_progress_does_not_time_out, caller_server_fixture) {
    server.set_limits(
        {.header_timeout = std::chrono::milliseconds{200}, .idle_timeout = std::chrono::milliseconds{400}});
    send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n");
    for (int sent = 0; sent < 8; ++sent) {
        send("b");
    }
    BOOST_TEST(requests.size() == 1U);
}

// Guards against a crowd of idle or unfinished connections that keeps out ordinary callers.
BOOST_FIXTURE_TEST_CASE(new_connection_replaces_one_without_a_complete_request, caller_server_fixture) {
    send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n");
    const int idle = connect_another();
    const int third = connect_another();
    char byte{};
    BOOST_TEST(recv(idle, &byte, 1, MSG_DONTWAIT) == 0);
    const int fourth = connect_another();
    BOOST_TEST(recv(third, &byte, 1, MSG_DONTWAIT) == 0);
    const std::string_view request{"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"};
    BOOST_TEST(::send(fourth, request.data(), request.size(), 0) > 0);
    run_loop();
    const int fifth = connect_another();
    BOOST_TEST(received().empty());
    BOOST_REQUIRE(requests.size() == 1U);
    BOOST_TEST(requests.front()->target() == "/2");
    for (const int descriptor : {idle, third, fourth, fifth}) {
        close(descriptor);
    }
}

// Guards against giving up a complete request, whose upstream may be running it.
BOOST_FIXTURE_TEST_CASE(only_incomplete_requests_are_reclaimed, caller_server_fixture) {
    send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb");
    BOOST_REQUIRE(requests.size() == 1U);
    BOOST_TEST(!server.reclaim(memory_use::small));
    requests.front()->reply({.status = 200});
    BOOST_TEST(received().starts_with("HTTP/1.1 200 "));
    send("POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nb");
    // A large use gives it up only once it makes no progress.
    BOOST_TEST(!server.reclaim(memory_use::large));
    const auto used = memory->used();
    BOOST_TEST(server.reclaim(memory_use::small));
    BOOST_TEST(memory->used() < used);
    BOOST_TEST(received().starts_with("HTTP/1.1 503 "));
    BOOST_TEST(requests.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
