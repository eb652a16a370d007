#include "goldcrestwell/core/call/attempt_ledger.hpp"

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>

// Simulates an overloaded upstream in virtual time and prints the useful responses per second at several loads, with
// and without the deadline-aware queue. A response is useful if it arrives by the deadline of the call. The upstream
// continues to work on a call whose deadline has passed.

using namespace goldcrestwell;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slots = 10;
constexpr auto mean_processing_time = 20ms;
constexpr auto simulated_time = 60s;

struct outcome {
    double useful_per_second{};
    double refused_at_once_per_second{};
    double wasted_per_second{};
};

class overload_simulation {
public:
    overload_simulation(const double load, const std::chrono::milliseconds timeout, const bool deadline_aware,
                        const std::uint64_t seed)
        : random_{seed}, timeout_{timeout}, ledger_{options(deadline_aware)} {
        const double capacity = slots / std::chrono::duration<double>{mean_processing_time}.count();
        arrival_interval_s_ = std::exponential_distribution<double>{load * capacity};
        ledger_.set_upstream(upstream_info{.service = {"s"}, .version = {"v"}, .slots = slots, .connections = 130},
                             sample());
    }

    outcome run() {
        const auto end = now_ + simulated_time;
        auto arrival = now_;
        while (now_ < end) {
            const auto timer = ledger_.next_timer().value_or(steady_time::max());
            const auto completion = completions_.empty() ? steady_time::max() : completions_.begin()->first;
            now_ = std::min({arrival, timer, completion});
            if (now_ == completion) {
                complete_call();
            } else if (now_ == timer) {
                ledger_.on_timer(sample());
            } else {
                start_call();
                arrival += std::chrono::duration_cast<std::chrono::microseconds>(
                    std::chrono::duration<double>{arrival_interval_s_(random_)});
            }
        }
        const auto seconds = std::chrono::duration<double>{simulated_time}.count();
        return {.useful_per_second = static_cast<double>(useful_responses_) / seconds,
                .refused_at_once_per_second = static_cast<double>(immediate_refusals_) / seconds,
                .wasted_per_second = static_cast<double>(late_responses_) / seconds};
    }

private:
    attempt_ledger_options options(const bool deadline_aware) {
        attempt_ledger_options ledger_options{.self = node_id{1}, .start_incarnation = incarnation{1}};
        ledger_options.deadline_aware = deadline_aware;
        ledger_options.counts = &counts_;
        ledger_options.invariants = &invariants_;
        ledger_options.abort_upstream = [](const attempt_id&) {
        };
        ledger_options.start_upstream = [this](const attempt_id& id, const call_request&, std::chrono::milliseconds) {
            // Uniform between 0.5 and 1.5 times the mean.
            const auto processing_time_us = std::uniform_int_distribution<int>{10'000, 30'000}(random_);
            completions_.emplace(now_ + std::chrono::microseconds{processing_time_us}, id);
        };
        ledger_options.send = [this](node_id, const peer_message& message) {
            const auto& reply = std::get<attempt_reply>(message);
            const auto deadline = deadlines_.extract(reply.id.sequence).mapped();
            if (std::holds_alternative<http_response>(reply.result)) {
                ++(now_ <= deadline ? useful_responses_ : late_responses_);
            } else if (deadline == now_ + timeout_) {
                ++immediate_refusals_;
            }
        };
        return ledger_options;
    }

    void start_call() {
        attempt_request request{
            .id = {.origin = node_id{2}, .start_incarnation = incarnation{1}, .sequence = ++sequence_},
            .target_incarnation = incarnation{1},
            .route = {"/"},
            .service = {"s"},
            .version = {"v"},
            .call = {.method = "POST", .target = "/", .headers = {}, .body = {}}};
        request.call.timeout = timeout_;
        deadlines_.emplace(sequence_, now_ + timeout_);
        ledger_.on_request(node_id{2}, request, sample());
    }

    void complete_call() {
        const auto id = completions_.begin()->second;
        completions_.erase(completions_.begin());
        ledger_.on_upstream_result(
            id, {.outcome = upstream_outcome::answered, .response = {.status = 200, .headers = {}, .body = {}}},
            sample());
    }

    [[nodiscard]] time_sample sample() const { return {.steady = now_, .wall = {}}; }

    std::mt19937_64 random_;
    std::chrono::milliseconds timeout_;
    steady_time now_{1'000s};
    counters counts_;
    invariant_monitor invariants_;
    std::multimap<steady_time, attempt_id> completions_;
    std::map<std::uint64_t, steady_time> deadlines_;
    std::exponential_distribution<double> arrival_interval_s_;
    std::uint64_t sequence_{};
    std::uint64_t useful_responses_{};
    std::uint64_t late_responses_{};
    std::uint64_t immediate_refusals_{};
    attempt_ledger ledger_;
};

} // namespace

int main() {
    std::cout << std::fixed << std::setprecision(1)
              << "deadline_ms,load,queue,useful_per_s,refused_at_once_per_s,late_answers_per_s\n";
    for (const auto timeout : {100ms, 250ms, 1'000ms}) {
        for (const auto load : {0.5, 1.0, 1.5, 2.0, 4.0}) {
            for (const auto aware : {false, true}) {
                const auto measured = overload_simulation{load, timeout, aware, 1}.run();
                std::cout << timeout.count() << ',' << load << ',' << (aware ? "deadline_aware" : "plain") << ','
                          << measured.useful_per_second << ',' << measured.refused_at_once_per_second << ','
                          << measured.wasted_per_second << '\n';
            }
        }
    }
    return EXIT_SUCCESS;
}
