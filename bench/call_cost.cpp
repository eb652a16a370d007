#include "goldcrestwell/core/call/attempt_ledger.hpp"
#include "goldcrestwell/core/call/call_dispatcher.hpp"

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <iomanip>
#include <iostream>
#include <vector>

// Measures the processing time of a call in the call dispatcher and in the attempt ledger, for several numbers of calls
// in progress and of candidate upstreams.

using namespace goldcrestwell;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t measured_calls = 100'000;
const node_id self{1};
const service_name service{"s"};
const upstream_version version{"v"};

call_request make_request() {
    return {.method = "GET", .target = "/orders/1", .headers = {}, .body = std::string(100, 'x'), .timeout = 30'000ms};
}

time_sample time_of_call(const std::size_t call) {
    // 80 calls per second, the average load of a node at the design size.
    return {.steady = steady_time{1'000s} + call * 12'500us, .wall = {}};
}

double microseconds_per_call(const std::chrono::steady_clock::duration elapsed) {
    return std::chrono::duration<double, std::micro>{elapsed}.count() / measured_calls;
}

double dispatcher_microseconds(const std::size_t in_progress, const std::size_t candidate_count) {
    std::vector<upstream_candidate> candidates;
    for (std::size_t i = 0; i < candidate_count; ++i) {
        candidates.push_back(
            {.node = node_id{i + 2}, .slots = 10, .local = i < candidate_count / 4, .announced_at = {}});
    }
    const std::vector<version_share> shares{{.version = version, .share = full_share}};
    std::deque<std::pair<node_id, attempt_id>> sent;
    counters counts;
    invariant_monitor invariants;
    call_dispatcher_options options{.self = self, .start_incarnation = incarnation{1}};
    options.max_calls = 100'000;
    // Calls complete in order, so a call waits for up to 10,000 others; its deadline must not pass meanwhile.
    options.max_timeout = 1'000'000ms;
    options.find_route = [](const call_request&) {
        return route_view{.route = {"/orders"}, .service = service};
    };
    options.find_policy = [](const row_key&) {
        return row_policy{};
    };
    options.shares = [&shares](const route_view&) {
        return std::vector<version_share>{shares};
    };
    options.candidates = [&candidates](const service_name&, const upstream_version&) {
        return std::span{candidates};
    };
    options.start_incarnation_of = [](node_id) {
        return incarnation{1};
    };
    options.send = [&sent](const node_id to, const peer_message& message) {
        if (const auto* attempt = std::get_if<attempt_request>(&message)) {
            sent.emplace_back(to, attempt->id);
        }
    };
    options.replace_connection = [](node_id) {
    };
    options.reply = [](call_id, const call_result&) {
    };
    options.counts = &counts;
    options.invariants = &invariants;
    call_dispatcher dispatcher{std::move(options)};
    auto request = make_request();
    request.timeout = 1'000'000ms;
    for (std::size_t i = 0; i + 1 < in_progress; ++i) {
        dispatcher.start(request, time_of_call(0));
    }
    const http_response response{.status = 200, .headers = {}, .body = std::string(100, 'y')};
    const auto started_at = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < measured_calls; ++i) {
        const auto now = time_sample{.steady = time_of_call(0).steady + std::chrono::microseconds{i}, .wall = {}};
        dispatcher.start(request, now);
        const auto [to, id] = sent.front();
        sent.pop_front();
        dispatcher.on_reply(to, {.id = id, .result = response, .load = 1}, now);
        dispatcher.on_timer(now);
    }
    return microseconds_per_call(std::chrono::steady_clock::now() - started_at);
}

double ledger_microseconds(const std::size_t in_progress) {
    std::deque<attempt_id> running;
    counters counts;
    invariant_monitor invariants;
    attempt_ledger_options options{.self = self, .start_incarnation = incarnation{1}};
    options.max_queue = 100'000;
    options.send = [](node_id, const peer_message&) {
    };
    options.start_upstream = [&running](const attempt_id& id, const call_request&, std::chrono::milliseconds) {
        running.push_back(id);
    };
    options.abort_upstream = [](const attempt_id&) {
    };
    options.observe = [](const call_observation&) {
    };
    options.counts = &counts;
    options.invariants = &invariants;
    options.deadline_aware = false;
    attempt_ledger ledger{std::move(options)};
    ledger.set_upstream(upstream_info{.service = service, .version = version, .slots = 10, .connections = 130},
                        time_of_call(0));
    attempt_request attempt{.target_incarnation = incarnation{1},
                            .route = {"/orders"},
                            .service = service,
                            .version = version,
                            .call = make_request()};
    attempt.call.timeout = std::chrono::milliseconds{2'000'000'000};
    std::uint64_t sequence = 0;
    const auto send_next = [&](const time_sample now) {
        attempt.id = {
            .origin = node_id{2 + sequence % 50}, .start_incarnation = incarnation{1}, .sequence = ++sequence};
        ledger.on_request(attempt.id.origin, attempt, now);
    };
    for (std::size_t i = 0; i + 1 < in_progress; ++i) {
        send_next(time_of_call(0));
    }
    const upstream_result result{.outcome = upstream_outcome::answered,
                                 .response = {.status = 200, .headers = {}, .body = std::string(100, 'y')}};
    const auto started_at = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < measured_calls; ++i) {
        send_next(time_of_call(i));
        const auto id = running.front();
        running.pop_front();
        ledger.on_upstream_result(id, result, time_of_call(i));
        ledger.on_timer(time_of_call(i));
    }
    return microseconds_per_call(std::chrono::steady_clock::now() - started_at);
}

} // namespace

int main() {
    std::cout << std::fixed << std::setprecision(2) << "calls_in_progress,dispatcher_us,ledger_us\n";
    for (const std::size_t calls : {1, 10, 100, 1'000, 10'000}) {
        std::cout << calls << ',' << dispatcher_microseconds(calls, 100) << ',' << ledger_microseconds(calls) << '\n';
    }
    std::cout << "candidates,dispatcher_us\n";
    for (const std::size_t candidates : {10, 100, 1'000, 10'000}) {
        std::cout << candidates << ',' << dispatcher_microseconds(10, candidates) << '\n';
    }
    return EXIT_SUCCESS;
}
