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
 * @brief Sends calls at random times of a fixed mean rate, whatever happens to earlier ones.
 *
 * Calls go to the targets in turn. A call waits for a connection of its target if none is idle.
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
        steady_time planned;
    };

    struct slot {
        std::unique_ptr<http_connection> connection;
        /** Until the result was reported; the connection itself is idle a moment earlier. */
        bool busy{};
    };

    struct target {
        endpoint address;
        std::vector<slot> slots;
        std::deque<planned_call> waiting;
    };

    void start_due(steady_time now);
    void plan_next();
    void place(target& to, const planned_call& call);
    void send(target& to, std::size_t place, const planned_call& call);
    void on_result(target& from, std::size_t place, const planned_call& call, const upstream_result& result);
    void finish(const planned_call& call, const upstream_result& result, steady_time now);
    void start_waiting(target& to, std::size_t place);
    void stop_if_finished();

    event_loop& loop_;
    load_options options_;
    request_ids ids_;
    load_report report_;
    std::mt19937_64 random_;
    std::exponential_distribution<double> gap_;
    timer timer_;
    std::deque<target> targets_;
    std::string body_;
    steady_time measured_from_;
    steady_time ends_;
    steady_time next_start_;
    std::uint64_t started_{};
    std::uint64_t ended_{};
};

} // namespace goldcrestwell

#endif
