// Prints the time that a node takes to apply one table edit and to run one timer tick, with and without rollouts in
// progress, for several table sizes.
#include "goldcrestwell/core/node/node.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

using namespace goldcrestwell;
using namespace std::chrono_literals;

namespace {

using microseconds = std::chrono::duration<double, std::micro>;

constexpr std::array<std::uint64_t, 4> table_sizes{100, 1'000, 4'000, 16'000};
constexpr std::uint64_t rows_per_route = 4;
// Fewer than the 58 rollouts that 4,200 edits per day keep in progress for 20 min each, because the smallest table has
// only 25 routes.
constexpr std::uint64_t rollouts = 20;
constexpr int ticks = 200;

class bench_node {
public:
    explicit bench_node(const std::uint64_t rows) : routes_{rows / rows_per_route}, core_{options()} {
        core_.start(now_);
        for (std::uint64_t route = 0; route < routes_; ++route) {
            static_cast<void>(apply(edit(route, {100, 0, 0, 0}, log_offset{})));
            row_versions_.push_back(position_);
        }
    }

    /** @brief Applies an edit that starts a rollout of a route to its second version and returns the time taken. */
    [[nodiscard]] microseconds start_rollout(const std::uint64_t route) {
        return apply(edit(route, {0, 100, 0, 0}, log_offset{row_versions_.at(route)}));
    }

    [[nodiscard]] microseconds tick() {
        now_.steady += 1s;
        now_.wall += 1s;
        const auto start = std::chrono::steady_clock::now();
        core_.on_timer(now_);
        return std::chrono::steady_clock::now() - start;
    }

    [[nodiscard]] std::uint64_t accepted() const { return core_.follower().reducer().snapshot()->version().value(); }
    [[nodiscard]] std::uint64_t position() const { return position_; }

private:
    static node_options options() {
        node_options settings{
            .self = node_id{0x7F000001, 1}, .start_incarnation = incarnation{1}, .data_centre = {"dc"}};
        settings.region = {"region"};
        auto& hooks = settings.hooks;
        hooks.send_frame = [](node_id, const peer_message&) {
        };
        hooks.send_datagram = [](node_id, const datagram&) {
        };
        hooks.datagram_size = [](const datagram&) {
            return std::size_t{100};
        };
        hooks.frame_size = [](const peer_message&) {
            return std::size_t{100};
        };
        hooks.replace_connection = [](node_id) {
        };
        hooks.start_upstream = [](const attempt_id&, const call_request&, std::chrono::milliseconds) {
        };
        hooks.abort_upstream = [](const attempt_id&) {
        };
        hooks.read_log = [](log_offset, std::chrono::milliseconds) {
        };
        hooks.append_record = [](const log_record&) {
        };
        hooks.schedule_wake_up = [](steady_time) {
        };
        hooks.event = [](const node_event&) {
        };
        hooks.invariant_violated = [](invariant_id) {
        };
        return settings;
    }

    table_edit edit(const std::uint64_t route, const std::array<std::uint32_t, rows_per_route>& weights,
                    const log_offset expected) const {
        const auto name = std::to_string(route);
        table_edit new_edit{.id = {.high = 1, .low = position_ + 1}, .created_at = now_.wall};
        for (std::size_t row = 0; row < weights.size(); ++row) {
            new_edit.changes.push_back(
                {.key = {.route = {"/region/service-" + name + "/orders"},
                         .version = {"2026.12." + std::to_string(row)}},
                 .expected = expected,
                 .values = row_values{.service = {"service-" + name}, .weight = weights.at(row)}});
        }
        return new_edit;
    }

    microseconds apply(table_edit new_edit) {
        const log_offset before{position_};
        const log_offset at{++position_};
        const record_batch batch{.after = before,
                                 .records = {{.offset = at, .record = std::move(new_edit)}},
                                 .through = at,
                                 .head = at,
                                 .first_retained = log_offset{1}};
        now_.steady += 1ms;
        now_.wall += 1ms;
        const auto start = std::chrono::steady_clock::now();
        core_.on_log_batch(batch, now_);
        return std::chrono::steady_clock::now() - start;
    }

    time_sample now_{.steady = steady_time{1h}, .wall = wall_time{std::chrono::hours{24 * 365 * 56}}};
    std::uint64_t routes_;
    std::uint64_t position_{};
    std::vector<std::uint64_t> row_versions_;
    node core_;
};

void measure(const std::uint64_t rows) {
    bench_node node{rows};
    microseconds idle_time{};
    for (int count = 0; count < ticks; ++count) {
        idle_time += node.tick();
    }
    microseconds edit_time{};
    for (std::uint64_t route = 0; route < rollouts; ++route) {
        edit_time += node.start_rollout(route);
    }
    microseconds rollout_time{};
    for (int count = 0; count < ticks; ++count) {
        rollout_time += node.tick();
    }
    std::printf("%9llu %18.1f %22.1f %22.1f %10s\n", static_cast<unsigned long long>(rows),
                edit_time.count() / rollouts, idle_time.count() / ticks, rollout_time.count() / ticks,
                node.accepted() == node.position() ? "all" : "not all");
}

} // namespace

int main(const int argc, const char* const* argv) {
    double load_average = 0;
    static_cast<void>(getloadavg(&load_average, 1));
    std::printf("# load average %.1f, revision %s\n", load_average, argc > 1 ? argv[1] : "unknown");
    std::printf("%9s %18s %22s %22s %10s\n", "rows", "applied edit [us]", "tick, no moves [us]", "tick, 20 moves [us]",
                "accepted");
    for (const auto rows : table_sizes) {
        measure(rows);
    }
    return 0;
}
