// Bytes that are no answer and do not end, in each part of a message, from upstreams, the store and peers.

#include "crowd/crowd_cluster.hpp"
#include "goldcrestwell/codec/frame_codec.hpp"
#include "goldcrestwell/codec/frame_splitter.hpp"
#include "goldcrestwell/codec/transfer_frame.hpp"
#include "platform/raw_upstream.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace goldcrestwell;
using std::chrono::milliseconds;
using test::crowd_cluster;
using test::raw_upstream;

namespace {

constexpr std::size_t crowd_size = 8;
constexpr std::size_t block_bytes = 65'536;
// Half of the deadline of the requests: what ends a response is its size.
constexpr std::chrono::seconds max_response_time{10};
constexpr std::uint32_t loopback = 0x7F000001;

/** @brief Start of a response and the bytes that follow it without end. */
struct endless_response {
    std::string part;
    std::string start;
    std::string repeated;
};

std::string repeat(const std::string_view text) {
    std::string block;
    while (block.size() < block_bytes) {
        block += text;
    }
    return block;
}

std::string head_of(const std::string& id, const std::string& framing) {
    return "HTTP/1.1 200 OK\r\nGoldcrestwell-Request-Id: " + id + "\r\nGoldcrestwell-Response-Signature: signed\r\n" +
           framing + "\r\n";
}

std::vector<endless_response> endless_responses(const std::string& id) {
    const std::string status{"HTTP/1.1 200 OK\r\n"};
    const auto chunked = head_of(id, "Transfer-Encoding: chunked\r\n");
    const auto interim = "HTTP/1.1 103 Early Hints\r\nx: " + std::string(900, 'y') + "\r\n\r\n";
    return {
        {"bytes of no message", "", repeat("x")},
        {"blank lines", "", repeat("\r\n")},
        {"version", "HTTP/1.", repeat("1")},
        {"status", "HTTP/1.1 ", repeat("2")},
        {"reason", "HTTP/1.1 200 ", repeat("O")},
        {"name of a field", status, repeat("a")},
        {"value of a field", status + "x: ", repeat("y")},
        {"spaces before a value", status + "x:", repeat(" ")},
        {"fields", status, repeat("a: b\r\n")},
        {"interim responses", "", repeat("HTTP/1.1 100 Continue\r\n\r\n")},
        {"interim responses with fields", "", repeat(interim)},
        {"fields of an interim response", "HTTP/1.1 102 Processing\r\n", repeat("a: b\r\n")},
        {"bytes after a switch of the protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", repeat("x")},
        {"body with a length", head_of(id, "Content-Length: 4000000000\r\n"), repeat("b")},
        {"body without a length", head_of(id, ""), repeat("b")},
        {"size of a chunk", chunked, repeat("0")},
        {"extension of a chunk", chunked + "5", repeat(";a")},
        {"chunks", chunked, repeat("400\r\n" + std::string(1'024, 'c') + "\r\n")},
        {"small chunks with extensions", chunked, repeat("1;" + std::string(1'000, 'e') + "\r\nc\r\n")},
        {"end of a chunk", chunked + "1\r\nc", repeat("\r")},
        {"trailer", chunked + "0\r\n", repeat("a: b\r\n")},
        {"bytes after a refusal",
         "HTTP/1.1 503 Service Unavailable\r\nGoldcrestwell-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", repeat("x")},
        {"bytes after an empty response", "HTTP/1.1 204 No Content\r\n\r\n", repeat("x")},
        {"bytes after a response", head_of(id, "Content-Length: 4\r\n") + "1200", repeat("x")},
        {"responses after a response", head_of(id, "Content-Length: 4\r\n") + "1200",
         repeat(head_of(id, "Content-Length: 4\r\n") + "1200")}};
}

/** @brief Serves ordinary requests, and each read with the endless response that its id names. */
void serve_endless(const std::string& id, const raw_upstream::connection& from) {
    if (id.starts_with("ordinary")) {
        from.write(head_of(id, "Content-Length: 4\r\n") + "1200");
        return;
    }
    const auto response = endless_responses(id).at(std::stoul(id));
    from.write(response.start);
    from.write_without_end(response.repeated);
}

std::string read_request(const std::string& id) {
    return "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nGoldcrestwell-Request-Id: " + id +
           "\r\nGoldcrestwell-Deadline-Ms: 20000\r\n\r\n";
}

std::string introduction(const std::size_t number) {
    const node_id sender{loopback, static_cast<std::uint16_t>(60'000 + number)};
    const auto frame = encode(peer_message{hello{.sender = sender, .start_incarnation = incarnation{1}}});
    return frame_prefix(frame.size()) + frame;
}

std::string framed(const std::string& frame) {
    return frame_prefix(frame.size()) + frame;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(bytes_without_end, crowd_cluster)

// Guards against a process that keeps the bytes of a faulty upstream and runs out of memory, and against requests of
// other callers that end with it; the node in front of the callers gets what the node of the upstream passes on.
BOOST_AUTO_TEST_CASE(from_an_upstream) {
    stop_upstream();
    const raw_upstream upstream{loop, back().upstream_port, serve_endless};
    const auto parts = endless_responses("");
    for (std::size_t index = 0; index < parts.size(); ++index) {
        BOOST_TEST_CONTEXT("in " << parts[index].part) {
            for (auto* target : {&front(), &back()}) {
                const auto clients = connect(target->caller_port, crowd_size);
                for (std::size_t number = 0; number < clients.size(); ++number) {
                    clients[number]->write(read_request(std::to_string(index) + "-" + std::to_string(number)));
                }
                BOOST_TEST(ordinary_request(*target).response.status == 200U);
                const auto answered = [&clients] {
                    return std::ranges::all_of(
                        clients, [](const auto& client) { return client->closed() || client->status() != 0; });
                };
                BOOST_TEST(wait_for(answered, max_response_time));
                BOOST_TEST(wait_for([&upstream] { return upstream.open_connections() <= 1; }, max_response_time));
            }
        }
    }
    check_survival();
}

// Guards against bytes that a node reads from a connection on which no request is in progress.
BOOST_AUTO_TEST_CASE(on_an_idle_connection) {
    stop_upstream();
    std::vector<std::unique_ptr<timer>> timers;
    const raw_upstream upstream{
        loop, back().upstream_port, [&](const std::string& id, const raw_upstream::connection& from) {
            from.write(head_of(id, "Content-Length: 4\r\n") + "1200");
            timers.push_back(
                std::make_unique<timer>(loop, [from](time_sample) { from.write_without_end(repeat("x")); }));
            timers.back()->schedule_after(milliseconds{100});
        }};
    for (int round = 0; round < 4; ++round) {
        BOOST_TEST(ordinary_request(back()).response.status == 200U);
        BOOST_TEST(upstream.open_connections() == 1U);
        run_for(milliseconds{150});
        BOOST_TEST(wait_for([&upstream] { return upstream.open_connections() == 0; }));
        timers.clear();
    }
    check_survival();
}

// Guards against a node that runs out of memory, or that serves no more requests, because the store sends bytes without
// end.
BOOST_AUTO_TEST_CASE(from_the_store) {
    stop_store();
    const auto parts = endless_responses("1");
    std::size_t next = 0;
    const raw_upstream store{loop, store_port(), [&](const std::string&, const raw_upstream::connection& from) {
                                 const auto& response = parts[next++ % parts.size()];
                                 from.write(response.start);
                                 from.write_without_end(response.repeated);
                             }};
    BOOST_TEST(wait_for([&] { return next >= 2 * parts.size(); }));
    check_survival();
}

// Guards against a node that keeps the frames of a peer, or its own answers to them, without end.
BOOST_AUTO_TEST_CASE(from_a_peer) {
    constexpr std::size_t small_frames_bytes = std::size_t{1} << 20U;
    constexpr std::size_t body_bytes = std::size_t{8} << 20U;
    const auto many = [](const std::string& frame, const std::size_t bytes) {
        std::string block;
        while (block.size() < bytes) {
            block += frame;
        }
        return block;
    };
    std::string transfers;
    for (std::uint64_t number = 0; number < 20'000; ++number) {
        transfers += framed(encode_transfer_begin(number, body_bytes, "head"));
    }
    const auto part = framed(encode_transfer_part_head(1) + std::string(60'000, 'p'));
    const std::vector<std::string> streams{
        many(framed(""), small_frames_bytes),
        many(framed("\x01\x02"), small_frames_bytes),
        many(introduction(1), small_frames_bytes),
        many(framed(encode(peer_message{heartbeat{}})), small_frames_bytes),
        many(framed(encode(peer_message{attempt_query{}})), small_frames_bytes),
        many(framed(encode(peer_message{departure_query{}})), small_frames_bytes),
        transfers,
        many(part, 4 * body_bytes),
        framed(encode_transfer_begin(1, body_bytes, "head")) + many(part, 4 * body_bytes),
        std::string(4 * body_bytes, '\x7F'),
    };
    for (std::size_t index = 0; index < streams.size(); ++index) {
        BOOST_TEST_CONTEXT("stream " << index) {
            const auto clients = connect(front().peer_port, 4);
            for (std::size_t number = 0; number < clients.size(); ++number) {
                clients[number]->stop_reading();
                clients[number]->write(introduction(number));
                clients[number]->write_reference(streams[index]);
            }
            BOOST_TEST(ordinary_request(front()).response.status == 200U);
            run_for(milliseconds{1'000});
        }
    }
    check_survival();
}

BOOST_AUTO_TEST_SUITE_END()
