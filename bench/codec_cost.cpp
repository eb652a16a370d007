#include "goldcrestwell/codec/datagram_codec.hpp"
#include "goldcrestwell/codec/frame_codec.hpp"
#include "goldcrestwell/codec/record_codec.hpp"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>

// Prints the encoded size of typical messages and the time to encode and decode them.
// Usage: bench_codec_cost [REVISION]

namespace {

using namespace goldcrestwell;

constexpr int repetitions = 20'000;
constexpr node_id self{0x0A010203, 7400};
constexpr incarnation start_incarnation{1'796'380'303'000};
constexpr attempt_id attempt{self, start_incarnation, 123'456};

member example_member(const std::uint16_t port) {
    return {.id = node_id{self.address(), port},
            .start_incarnation = start_incarnation,
            .incarnation = incarnation{start_incarnation.value() + 2},
            .status = member_status::alive,
            .data_centre = {"dc-north-1"},
            .region = {"region-1"},
            .upstream =
                upstream_info{.service = {"order-desk"}, .version = {"2026.12.1"}, .slots = 12, .connections = 130}};
}

datagram example_datagram(const std::uint16_t members) {
    datagram message{.kind = datagram_kind::ping,
                     .sender = self,
                     .start_incarnation = start_incarnation,
                     .sequence = 123'456,
                     .target = node_id{0x0A010204, 7400},
                     .position = log_offset{1'234'567},
                     .members = {},
                     .rollouts = {}};
    for (std::uint16_t port = 1; port <= members; ++port) {
        message.members.push_back(example_member(port));
    }
    return message;
}

datagram example_rollout() {
    auto message = example_datagram(0);
    message.rollouts.push_back(
        {.key = {.row = {.route = {"/orders"}, .version = {"2026.12.2"}}, .row_version = log_offset{1'234'560}},
         .state = {.stage = 3}});
    return message;
}

std::vector<http_header> example_headers() {
    return {{.name = "content-type", .value = "application/json"},
            {.name = "user-agent", .value = "order-desk-client/1.0"},
            {.name = "x-request-id", .value = "0123456789abcdef0123456789abcdef"}};
}

attempt_request example_request(const std::size_t body_size) {
    return {.id = attempt,
            .target_incarnation = start_incarnation,
            .route = {"/orders"},
            .service = {"order-desk"},
            .version = {"2026.12.1"},
            .idempotent = false,
            .limits = {.max_in_flight = 10,
                       .max_connections = 130,
                       .max_queue = 50,
                       .timeout = std::chrono::milliseconds{2000}},
            .call = {.method = "POST",
                     .target = "/orders/12345?copies=2",
                     .headers = example_headers(),
                     .body = std::string(body_size, 'x'),
                     .timeout = std::chrono::milliseconds{1999},
                     .hops = 1}};
}

evidence_report example_evidence() {
    evidence_window window{.row = {.route = {"/orders"}, .version = {"2026.12.1"}}, .calls = 80, .failures = 1};
    for (std::size_t bucket = 8; bucket < 18; ++bucket) {
        window.latencies[bucket] = 8;
    }
    return {.from = self, .windows = {window, window}};
}

table_edit example_edit() {
    return {.id = {.high = ~0ULL, .low = ~0ULL},
            .created_at = wall_time{std::chrono::milliseconds{start_incarnation.value()}},
            .changes = {{.key = {.route = {"/orders"}, .version = {"2026.12.1"}},
                         .expected = log_offset{1'234'560},
                         .values = row_values{.service = {"order-desk"}, .weight = 900}}}};
}

sync_state example_sync(const std::uint16_t members) {
    return {.members = example_datagram(members).members, .rollouts = {}};
}

record_batch example_batch() {
    return {.after = log_offset{1'234'566},
            .records = {{.offset = log_offset{1'234'567}, .record = example_edit()}},
            .through = log_offset{1'234'567},
            .head = log_offset{1'234'567},
            .first_retained = log_offset{1'000'000}};
}

template <typename Action>
double average_microseconds(Action action) {
    const auto start = std::chrono::steady_clock::now();
    for (int index = 0; index < repetitions; ++index) {
        action();
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / repetitions;
}

template <typename Decoder, typename Message>
void measure(const std::string& name, const Message& message) {
    const std::string bytes = encode(message);
    std::size_t total = 0; // prevents the compiler from removing the measured calls
    const double encoding = average_microseconds([&] { total += encode(message).size(); });
    Decoder decoder;
    const double decoding = average_microseconds([&] { total += decoder.decode(bytes).has_value() ? 1U : 0U; });
    if (total != repetitions * (bytes.size() + 1)) {
        std::cerr << name << ": a message was not decoded\n";
        std::exit(EXIT_FAILURE);
    }
    std::cout << "| " << name << " | " << bytes.size() << " | " << std::fixed << std::setprecision(2) << encoding
              << " | " << decoding << " |\n";
}

void print_header(const char* revision) {
    std::string load;
    std::ifstream{"/proc/loadavg"} >> load;
    std::cout << "revision " << revision << ", machine load " << load << ", " << repetitions << " repetitions\n\n"
              << "| message | bytes | encode, us | decode, us |\n|---|---|---|---|\n";
}

} // namespace

int main(int argc, char** argv) {
    print_header(argc > 1 ? argv[1] : "unknown");
    measure<datagram_decoder>("ping without facts", example_datagram(0));
    measure<datagram_decoder>("ping with 1 member", example_datagram(1));
    measure<datagram_decoder>("ping with 10 members", example_datagram(10));
    measure<datagram_decoder>("ping with 1 move", example_rollout());
    measure<frame_decoder>("hello", peer_message{hello{.sender = self, .start_incarnation = start_incarnation}});
    measure<frame_decoder>("heartbeat", peer_message{heartbeat{}});
    measure<frame_decoder>("attempt_request, 1 kB", peer_message{example_request(1000)});
    measure<frame_decoder>("attempt_request, 100 kB", peer_message{example_request(100'000)});
    const http_response response{.status = 200, .headers = example_headers(), .body = std::string(1000, 'x')};
    measure<frame_decoder>("attempt_reply, 1 kB", peer_message{attempt_reply{.id = attempt, .result = response}});
    measure<frame_decoder>("attempt_reply, refusal",
                           peer_message{attempt_reply{.id = attempt, .result = call_refusal{}}});
    measure<frame_decoder>("attempt_query",
                           peer_message{attempt_query{.id = attempt, .target_incarnation = start_incarnation}});
    measure<frame_decoder>("attempt_status", peer_message{attempt_status{.id = attempt}});
    measure<frame_decoder>("attempt_cancel", peer_message{attempt_cancel{.id = attempt}});
    measure<frame_decoder>("config_pull", peer_message{config_pull{.after = log_offset{1'234'567}}});
    measure<frame_decoder>("record_batch, 1 edit", peer_message{example_batch()});
    measure<frame_decoder>("evidence_report, 2 windows", peer_message{example_evidence()});
    measure<frame_decoder>("sync_digest, 256 buckets",
                           peer_message{sync_digest{.buckets = std::vector<std::uint32_t>(256, ~0U), .rollouts = 1}});
    measure<frame_decoder>("sync_state, 426 members", peer_message{example_sync(426)});
    measure<record_decoder>("table_edit, 1 row", log_record{example_edit()});
    measure<record_decoder>("rollout_fact",
                            log_record{rollout_record{example_rollout().rollouts[0].key, {.stage = 5}}});
    return 0;
}
