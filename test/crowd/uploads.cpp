// Crowds of callers that upload large bodies. Each process must stay within the memory of its host, and ordinary
// callers must still get responses.

#include "crowd/crowd_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using test::crowd_cluster;
using test::upload_head;

namespace {

constexpr std::size_t kibibyte = 1'024;
constexpr std::size_t body_bytes = std::size_t{8} << 20U;
constexpr std::size_t crowd_size = 24;

std::string length_line(const std::size_t size) {
    return "Content-Length: " + std::to_string(size);
}

/** @return Body in chunks of a size, without the last chunk. */
std::string to_chunks(const std::size_t size, const std::size_t chunk_size) {
    std::array<char, 32> prefix{};
    std::snprintf(prefix.data(), prefix.size(), "%zx\r\n", chunk_size);
    const auto chunk = prefix.data() + std::string(chunk_size, 'c') + "\r\n";
    std::string chunks;
    chunks.reserve(size / chunk_size * chunk.size());
    for (std::size_t sent = 0; sent < size; sent += chunk_size) {
        chunks += chunk;
    }
    return chunks;
}

/** @brief Cluster and the bytes that all clients of a crowd send. */
struct fixture {
    std::string body = std::string(body_bytes, 'b');
    crowd_cluster cluster;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crowd_of_uploads, fixture)

BOOST_AUTO_TEST_CASE(whole_bodies_at_once) {
    const auto clients = cluster.connect(cluster.front().caller_port, crowd_size);
    for (std::size_t number = 0; number < clients.size(); ++number) {
        clients[number]->write(upload_head("whole-" + std::to_string(number), length_line(body_bytes)));
        clients[number]->write_reference(body);
    }
    cluster.wait_until_sent(clients);
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(bodies_held_just_short_of_their_end) {
    const auto clients = cluster.connect(cluster.front().caller_port, crowd_size);
    for (std::size_t number = 0; number < clients.size(); ++number) {
        clients[number]->write(upload_head("held-" + std::to_string(number), length_line(body_bytes)));
        clients[number]->write_reference(std::string_view{body}.substr(1));
    }
    cluster.wait_until_sent(clients);
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(bodies_in_pieces_held_just_short_of_their_end) {
    constexpr std::size_t piece_bytes = 256 * kibibyte;
    const auto clients = cluster.connect(cluster.front().caller_port, crowd_size);
    for (std::size_t number = 0; number < clients.size(); ++number) {
        clients[number]->write(upload_head("pieces-" + std::to_string(number), length_line(body_bytes)));
    }
    for (std::size_t sent = 0; sent < body_bytes; sent += piece_bytes) {
        const auto piece = std::string_view{body}.substr(sent, std::min(piece_bytes, body_bytes - 1 - sent));
        for (const auto& client : clients) {
            client->write_reference(piece);
        }
        cluster.run_for(milliseconds{5});
    }
    cluster.wait_until_sent(clients);
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(large_chunks_without_the_last_one) {
    const auto chunks = to_chunks(body_bytes, 256 * kibibyte);
    const auto clients = cluster.connect(cluster.front().caller_port, crowd_size);
    for (std::size_t number = 0; number < clients.size(); ++number) {
        clients[number]->write(upload_head("large-" + std::to_string(number), "Transfer-Encoding: chunked"));
        clients[number]->write_reference(chunks);
    }
    cluster.wait_until_sent(clients);
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(tiny_chunks_without_the_last_one) {
    constexpr std::size_t tiny_chunk_bytes = 16;
    const auto chunks = to_chunks(body_bytes / 2, tiny_chunk_bytes);
    const auto clients = cluster.connect(cluster.front().caller_port, 2 * crowd_size);
    for (std::size_t number = 0; number < clients.size(); ++number) {
        clients[number]->write(upload_head("tiny-" + std::to_string(number), "Transfer-Encoding: chunked"));
        clients[number]->write_reference(chunks);
    }
    cluster.wait_until_sent(clients);
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(bodies_far_over_the_limit_that_are_announced) {
    const auto clients = cluster.connect(cluster.front().caller_port, crowd_size);
    for (std::size_t number = 0; number < clients.size(); ++number) {
        clients[number]->write(upload_head("announced-" + std::to_string(number), length_line(100 * body_bytes)));
        for (int repeat = 0; repeat < 8; ++repeat) {
            clients[number]->write_reference(body);
        }
    }
    cluster.wait_until_sent(clients);
    cluster.check_survival();
}

BOOST_AUTO_TEST_CASE(bodies_far_over_the_limit_that_are_just_sent) {
    const auto chunks = to_chunks(body_bytes, 64 * kibibyte);
    const auto clients = cluster.connect(cluster.front().caller_port, crowd_size);
    for (std::size_t number = 0; number < clients.size(); ++number) {
        clients[number]->write(upload_head("sent-" + std::to_string(number), "Transfer-Encoding: chunked"));
        for (int repeat = 0; repeat < 8; ++repeat) {
            clients[number]->write_reference(chunks);
        }
    }
    cluster.wait_until_sent(clients);
    cluster.check_survival();
}

// The upstream responds late, so complete requests wait on each connection behind the first one.
BOOST_AUTO_TEST_CASE(requests_that_wait_behind_each_other) {
    constexpr std::size_t small_body_bytes = 512 * kibibyte;
    constexpr int requests_per_connection = 16;
    std::vector<std::shared_ptr<http_exchange>> unanswered;
    cluster.handle_requests(
        [&unanswered](const std::shared_ptr<http_exchange>& exchange) { unanswered.push_back(exchange); });
    const auto clients = cluster.connect(cluster.front().caller_port, crowd_size);
    for (std::size_t number = 0; number < clients.size(); ++number) {
        for (int repeat = 0; repeat < requests_per_connection; ++repeat) {
            clients[number]->write(upload_head("waits-" + std::to_string(number) + "-" + std::to_string(repeat),
                                               length_line(small_body_bytes)));
            clients[number]->write_reference(std::string_view{body}.substr(0, small_body_bytes));
        }
    }
    cluster.run_for(milliseconds{3'000});
    cluster.handle_requests(test::reply_with_size);
    for (const auto& exchange : unanswered) {
        test::reply_with_size(exchange);
    }
    cluster.check_survival();
}

BOOST_AUTO_TEST_SUITE_END()
