#ifndef GOLDCRESTWELL_CLI_LOAD_RUN_HPP
#define GOLDCRESTWELL_CLI_LOAD_RUN_HPP

#include "goldcrestwell/cli/load_options.hpp"
#include "goldcrestwell/cli/load_report.hpp"
#include "goldcrestwell/shell/event_loop.hpp"
#include "goldcrestwell/shell/http_connection.hpp"
#include "goldcrestwell/shell/timer.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace goldcrestwell {

/**
 * @brief Sends calls at random times with a fixed mean rate, independent of the results of earlier calls.
 *
 * Calls are sent to the targets in turn. A call waits for a connection of its target if none is idle.
 */
class load_run {
public:
    load_run(event_loop& loop, load_options options);

    /** @brief Runs the loop until the last call has ended. */
    void run();

    [[nodiscard]] const load_report& report() const noexcept { return report_; }

private:
    struct planned_call {
        std::uint64_t number{};
        steady_time planned_start;
    };

    struct slot {
        std::unique_ptr<http_connection> connection;
        /** True until the result has been processed; the connection itself becomes idle shortly before. */
        bool busy{};
    };

    struct target {
        endpoint address;
        std::vector<slot> slots;
        std::deque<planned_call> waiting;
    };

    void start_due_calls(steady_time now);
    void plan_next_call();
    void send_or_queue(target& to, const planned_call& call);
    void send(target& to, std::size_t slot_index, const planned_call& call);
    void handle_result(target& from, std::size_t slot_index, const planned_call& call, const upstream_result& result);
    void record_result(const planned_call& call, const upstream_result& result, steady_time now);
    void send_next_waiting(target& to, std::size_t slot_index);
    void stop_if_finished();

    event_loop& loop_;
    load_options options_;
    request_ids ids_;
    load_report report_;
    std::mt19937_64 random_;
    std::exponential_distribution<double> start_interval_;
    timer timer_;
    std::deque<target> targets_;
    std::string body_;
    steady_time measurement_start_;
    steady_time measurement_end_;
    steady_time next_start_;
    std::uint64_t started_calls_{};
    std::uint64_t ended_calls_{};
};

} // namespace goldcrestwell

#endif
