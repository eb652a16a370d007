#ifndef GOLDCRESTWELL_TEST_SYSTEM_CALL_LOAD_HPP
#define GOLDCRESTWELL_TEST_SYSTEM_CALL_LOAD_HPP

#include "goldcrestwell/shell/timer.hpp"
#include "system/call_record.hpp"
#include "system/test_loop.hpp"

#include <memory>
#include <string>
#include <vector>

namespace goldcrestwell::test {

/** @brief Target, method and rate of a call load. */
struct call_load_options {
    /** @brief Ports of caller listeners; each has the same number of callers. */
    std::vector<std::uint16_t> ports;
    std::size_t callers_per_port{4};
    std::string method{"POST"};
    std::string target{"/orders"};
    std::chrono::milliseconds pause{20};
    /** @brief Longer than the timeout of the row, so that a late response is recorded with its duration. */
    std::chrono::milliseconds client_timeout{30'000};
};

/** @brief Set of callers that each make one call at a time; every call has its own request id. */
class call_load {
public:
    call_load(test_loop& loop, call_load_options options);
    ~call_load();

    call_load(const call_load&) = delete;
    call_load& operator=(const call_load&) = delete;

    /** @brief Prevents the callers from starting further calls. */
    void stop() noexcept { stopping_ = true; }

    /** @brief Checks whether no call is in progress. */
    [[nodiscard]] bool idle() const noexcept { return in_progress_ == 0; }

    /** @brief Stops the callers and waits for the calls in progress; returns false on a timeout. */
    bool finish();

    [[nodiscard]] std::size_t in_progress() const noexcept { return in_progress_; }
    [[nodiscard]] const std::vector<call_record>& records() const noexcept { return records_; }

    /** @brief Returns the number of calls with this ending that started at the given time or later. */
    [[nodiscard]] std::size_t count(call_ending ending, steady_time since = steady_time{}) const;

private:
    struct caller {
        std::uint16_t port{};
        std::unique_ptr<http_connection> connection;
        std::unique_ptr<timer> next_call_timer;
        call_record current;
    };

    void start_call(caller& sender);
    void on_result(caller& sender, const upstream_result& result);

    test_loop& loop_;
    call_load_options options_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::vector<call_record> records_;
    std::size_t in_progress_{};
    bool stopping_{};
};

} // namespace goldcrestwell::test

#endif
